//! Names, such as those of hosts, services and databases.

use super::ValueKind;

/// A name of ASCII letters, digits, `-` and `_`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Name;

impl Name {
    /// Maximum length. PostgreSQL truncates database names to 63 bytes.
    pub(crate) const MAX_BYTES: usize = 63;
}

impl ValueKind for Name {
    type Value = String;

    fn parse(&self, text: &str) -> Option<String> {
        let valid_chars = text.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_');
        (valid_chars && (1..=Self::MAX_BYTES).contains(&text.len())).then(|| text.to_owned())
    }

    fn allowed(&self) -> String {
        format!("a name of 1 to {} letters, digits, - and _", Self::MAX_BYTES)
    }
}
