//! Memory and CPU time of a proxy with idle callers.

use crate::process_usage::Usage;

/// Memory and CPU time of a proxy with idle callers.
pub struct IdleRow {
    pub(crate) callers: usize,
    pub(crate) state: &'static str,
    /// CPU time of the traffic thread for each caller that connected or ran its statement before.
    pub(crate) before_us: Option<f64>,
    pub(crate) length_ms: u64,
    pub(crate) resident_kib: u64,
    /// All threads of the process.
    pub(crate) all: Usage,
    pub(crate) traffic: Usage,
}

impl IdleRow {
    pub(crate) const HEADER: [&'static str; 9] = [
        "callers",
        "state",
        "CPU of connect or statement, us per caller",
        "resident, KiB",
        "per caller, KiB",
        "CPU, ms per s",
        "of it traffic thread",
        "wake-ups per s",
        "of it traffic thread",
    ];

    pub(crate) fn with_cpu(self, us: f64) -> Self {
        Self { before_us: Some(us), ..self }
    }

    /// Cells of the row; `base` is the row without callers.
    pub(crate) fn cells(&self, base: Option<&Self>) -> [String; 9] {
        let length_s = self.length_ms as f64 / 1e3;
        let cpu = |usage: Usage| format!("{:.2}", usage.cpu_s() * 1e3 / length_s);
        let wake_ups = |usage: Usage| format!("{:.1}", usage.wake_ups as f64 / length_s);
        let added_kib =
            self.resident_kib - base.map_or(0, |it| it.resident_kib.min(self.resident_kib));
        let per_caller = match self.callers {
            0 => String::new(),
            callers => format!("{:.2}", added_kib as f64 / callers as f64),
        };
        [
            self.callers.to_string(),
            self.state.to_owned(),
            self.before_us.map_or_else(String::new, |us| format!("{us:.0}")),
            self.resident_kib.to_string(),
            per_caller,
            cpu(self.all),
            cpu(self.traffic),
            wake_ups(self.all),
            wake_ups(self.traffic),
        ]
    }
}
