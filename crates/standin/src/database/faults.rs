//! Fault switches of an instance.

use super::error::SqlError;

/// Largest amount of a fault: one day in microseconds, so that adding it to a time cannot overflow.
const AMOUNT_LIMIT: u64 = 86_400_000_000;

#[derive(Clone, Debug, Default)]
pub(crate) struct Faults {
    /// No replication message is sent or handled.
    pub(crate) cut_group: bool,
    /// Data connections are neither read nor answered.
    pub(crate) cut_proxies: bool,
    /// Age at which a replica applies a log entry.
    pub(crate) lag_ms: u64,
    pub(crate) service_time_us: u64,
    pub(crate) connect_time_us: u64,
    /// New data connections are closed at once.
    pub(crate) refuse_connections: bool,
    /// Commits that are still to take effect without an answer.
    pub(crate) drop_answers: u64,
}

impl Faults {
    /// Sets the fault `name`: 0 or 1 for a switch, otherwise an amount in the unit of its suffix.
    pub(crate) fn set(&mut self, name: &str, value: i64) -> Result<(), SqlError> {
        let amount = u64::try_from(value).ok().filter(|amount| *amount <= AMOUNT_LIMIT);
        let out_of_range = || SqlError::new("22023", format!("{name} takes 0 to {AMOUNT_LIMIT}"));
        let amount = amount.ok_or_else(out_of_range)?;
        match name {
            "cut_group" => self.cut_group = amount != 0,
            "cut_proxies" => self.cut_proxies = amount != 0,
            "lag_ms" => self.lag_ms = amount,
            "service_time_us" => self.service_time_us = amount,
            "connect_time_us" => self.connect_time_us = amount,
            "refuse_connections" => self.refuse_connections = amount != 0,
            "drop_answer" => self.drop_answers = amount,
            _ => return Err(SqlError::new("22023", format!("unknown fault {name:?}"))),
        }
        Ok(())
    }
}
