//! Key prefixes in the store.

use super::{Name, ValueKind};

/// A key prefix: one or more names separated by `/`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Prefix;

impl ValueKind for Prefix {
    type Value = String;

    fn parse(&self, text: &str) -> Option<String> {
        text.split('/').all(|part| Name.parse(part).is_some()).then(|| text.to_owned())
    }

    fn allowed(&self) -> String {
        format!("names separated by /, each {}", Name.allowed())
    }
}
