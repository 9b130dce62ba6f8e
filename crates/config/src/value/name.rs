//! Names.

use super::ValueKind;

/// A name of letters, digits, `-` and `_`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Name;

impl Name {
    /// Bound on the length. PostgreSQL truncates names of databases at 63 bytes.
    pub(crate) const MAX_BYTES: usize = 63;
}

impl ValueKind for Name {
    type Value = String;

    fn parse(&self, text: &str) -> Option<String> {
        let known = text.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_');
        (known && (1..=Self::MAX_BYTES).contains(&text.len())).then(|| text.to_owned())
    }

    fn allowed(&self) -> String {
        format!("a name of 1 to {} letters, digits, - and _", Self::MAX_BYTES)
    }
}
