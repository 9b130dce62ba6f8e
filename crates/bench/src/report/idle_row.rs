//! Row of the table of idle callers.

use crate::process_usage::Usage;

/// Memory and CPU time of a proxy with idle callers.
pub struct IdleRow {
    pub(crate) callers: usize,
    pub(crate) state: &'static str,
    /// CPU time of the traffic thread per caller, in microseconds, for connecting or running one
    /// statement before the measurement. It is absent in the row without callers.
    pub(crate) cpu_per_caller_us: Option<f64>,
    pub(crate) duration_ms: u64,
    pub(crate) resident_kib: u64,
    /// Usage of all threads of the process.
    pub(crate) all: Usage,
    /// Usage of the traffic thread.
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
        "traffic thread CPU, ms per s",
        "wake-ups per s",
        "traffic thread wake-ups per s",
    ];

    pub(crate) fn with_cpu_per_caller(self, us: f64) -> Self {
        Self { cpu_per_caller_us: Some(us), ..self }
    }

    /// Cells of the row; `baseline` is the row without callers.
    pub(crate) fn cells(&self, baseline: Option<&Self>) -> [String; 9] {
        let duration_s = self.duration_ms as f64 / 1e3;
        let cpu = |usage: Usage| format!("{:.2}", usage.cpu_s() * 1e3 / duration_s);
        let wake_ups = |usage: Usage| format!("{:.1}", usage.wake_ups as f64 / duration_s);
        let added_kib =
            self.resident_kib - baseline.map_or(0, |it| it.resident_kib.min(self.resident_kib));
        let per_caller = match self.callers {
            0 => String::new(),
            callers => format!("{:.2}", added_kib as f64 / callers as f64),
        };
        [
            self.callers.to_string(),
            self.state.to_owned(),
            self.cpu_per_caller_us.map_or_else(String::new, |us| format!("{us:.0}")),
            self.resident_kib.to_string(),
            per_caller,
            cpu(self.all),
            cpu(self.traffic),
            wake_ups(self.all),
            wake_ups(self.traffic),
        ]
    }
}
