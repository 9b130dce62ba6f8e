//! Forms of a log line.

use derive_more::Display;

/// Form of a log line.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq)]
pub enum LogFormat {
    /// Plain text.
    #[default]
    #[display("text")]
    Text,
    /// One JSON object a line.
    #[display("json")]
    Json,
}

impl LogFormat {
    pub(super) const WORDS: [(&'static str, Self); 2] =
        [("text", Self::Text), ("json", Self::Json)];
}
