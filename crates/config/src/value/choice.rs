//! Enumerated values.

use super::ValueKind;

/// One of a fixed set of words, each with the value that it stands for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Choice<'a, T>(pub(crate) &'a [(&'a str, T)]);

impl<T: Copy> ValueKind for Choice<'_, T> {
    type Value = T;

    fn parse(&self, text: &str) -> Option<T> {
        self.0.iter().find(|(word, _)| *word == text).map(|(_, value)| *value)
    }

    fn allowed(&self) -> String {
        self.0.iter().map(|(word, _)| *word).collect::<Vec<_>>().join(", ")
    }
}
