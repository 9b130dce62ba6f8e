//! Formats of log lines.

use derive_more::Display;

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq)]
pub enum LogFormat {
    /// Plain text.
    #[default]
    #[display("text")]
    Text,
    /// One JSON object per line.
    #[display("json")]
    Json,
}

impl LogFormat {
    pub(super) const VALUES: [(&'static str, Self); 2] =
        [("text", Self::Text), ("json", Self::Json)];
}
