//! Levels of log lines.

use derive_more::Display;

/// Least severe level of log lines that are written.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq)]
pub enum LogLevel {
    /// Errors only.
    #[display("error")]
    Error,
    /// Warnings and above.
    #[display("warn")]
    Warn,
    /// State changes and above.
    #[default]
    #[display("info")]
    Info,
    /// Debugging details and above.
    #[display("debug")]
    Debug,
    /// Everything.
    #[display("trace")]
    Trace,
}

impl LogLevel {
    pub(super) const VALUES: [(&'static str, Self); 5] = [
        ("error", Self::Error),
        ("warn", Self::Warn),
        ("info", Self::Info),
        ("debug", Self::Debug),
        ("trace", Self::Trace),
    ];
}
