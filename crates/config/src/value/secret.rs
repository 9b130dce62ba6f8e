//! Secrets.

use super::ValueKind;

/// A secret of printable ASCII characters without spaces. Errors show only its length.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Secret {
    /// Minimum number of characters.
    pub(crate) min: usize,
    /// Maximum number of characters.
    pub(crate) max: usize,
}

impl ValueKind for Secret {
    type Value = String;

    fn parse(&self, text: &str) -> Option<String> {
        let printable = text.bytes().all(|byte| byte.is_ascii_graphic());
        (printable && (self.min..=self.max).contains(&text.len())).then(|| text.to_owned())
    }

    fn allowed(&self) -> String {
        format!("{} to {} printable ASCII characters without spaces", self.min, self.max)
    }

    fn found(&self, text: &str) -> String {
        format!("a value of {} characters", text.chars().count())
    }
}
