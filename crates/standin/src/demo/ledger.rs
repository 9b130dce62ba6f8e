//! Invoices that were written, by outcome.

use std::error::Error;

use postgres::{Client, NoTls};

use super::DemoError;
use super::wait::Wait;

/// Numbers of the invoices that were sent, by the outcome that the proxy reported.
#[derive(Debug)]
pub(super) struct Ledger {
    next: i32,
    /// Acknowledged.
    pub(super) acknowledged: Vec<i32>,
    /// Refused as not run, or rolled back.
    pub(super) refused: Vec<i32>,
    /// Outcome unknown.
    pub(super) unknown: Vec<i32>,
    /// Acknowledged, but an answered read did not show exactly one row.
    pub(super) misread: Vec<i32>,
}

impl Ledger {
    /// An empty ledger whose invoices are numbered from `first` on.
    pub(super) fn new(first: i32) -> Self {
        let (acknowledged, refused) = (Vec::new(), Vec::new());
        Self { next: first, acknowledged, refused, unknown: Vec::new(), misread: Vec::new() }
    }

    fn take_number(&mut self) -> i32 {
        self.next += 1;
        self.next - 1
    }

    /// Sends one invoice with a number of its own and records the outcome. `Err` gives the reason
    /// why it was not acknowledged.
    pub(super) fn write(&mut self, url: &str) -> Result<i32, String> {
        let number = self.take_number();
        let mut client = Client::connect(url, NoTls).map_err(reason)?;
        let sent = client.execute("INSERT INTO invoices VALUES ($1, 250)", &[&number]);
        match sent {
            Ok(_) => self.acknowledged.push(number),
            Err(error) if had_no_effect(&error) => {
                self.refused.push(number);
                return Err(reason(error));
            }
            Err(error) => {
                self.unknown.push(number);
                return Err(reason(error));
            }
        }
        Ok(number)
    }

    /// Sends new invoices through the proxies in turn until one is acknowledged. An invoice whose
    /// outcome is unknown is not sent again.
    pub(super) fn write_until_acknowledged(
        &mut self,
        urls: &[&str],
        wait: &Wait,
    ) -> Result<i32, DemoError> {
        let mut turns = urls.iter().cycle();
        wait.until("an acknowledged write", || {
            self.write(turns.next().copied().unwrap_or_default())
        })
    }

    /// Writes two invoices in one transaction.
    pub(super) fn write_transaction(&mut self, url: &str) -> Result<[i32; 2], DemoError> {
        let numbers = [self.take_number(), self.take_number()];
        let mut client = Client::connect(url, NoTls).map_err(DemoError::Database)?;
        let mut transaction = client.transaction().map_err(DemoError::Database)?;
        for number in &numbers {
            let insert = "INSERT INTO invoices VALUES ($1, 100)";
            transaction.execute(insert, &[number]).map_err(DemoError::Database)?;
        }
        transaction.commit().map_err(DemoError::Database)?;
        self.acknowledged.extend(numbers);
        Ok(numbers)
    }

    /// Reads an acknowledged invoice through the proxies in turn until one answers. Returns the
    /// number of rows, which is 1 unless something is wrong.
    pub(super) fn read_back(
        &mut self,
        urls: &[&str],
        number: i32,
        wait: &Wait,
    ) -> Result<usize, DemoError> {
        let mut turns = urls.iter().cycle();
        let rows = wait.until("an answered read", || {
            let url = turns.next().copied().unwrap_or_default();
            let mut client = Client::connect(url, NoTls).map_err(reason)?;
            let select = "SELECT amount FROM invoices WHERE number = $1";
            client.query(select, &[&number]).map(|rows| rows.len()).map_err(reason)
        })?;
        if rows != 1 {
            self.misread.push(number);
        }
        Ok(rows)
    }

    /// Adds the invoices of another ledger.
    pub(super) fn merge(&mut self, other: Self) {
        self.acknowledged.extend(other.acknowledged);
        self.refused.extend(other.refused);
        self.unknown.extend(other.unknown);
        self.misread.extend(other.misread);
    }
}

/// Whether an error promises that the request had no effect: result codes of the classes 2 (not run)
/// and 3 (rolled back).
fn had_no_effect(error: &postgres::Error) -> bool {
    let message = error.as_db_error().map(postgres::error::DbError::message).unwrap_or_default();
    message.starts_with("FR2") || message.starts_with("FR3")
}

/// Text of an error with its cause.
pub(super) fn reason(error: postgres::Error) -> String {
    let cause = error.source().map(|cause| format!(": {cause}"));
    format!("{error}{}", cause.unwrap_or_default())
}
