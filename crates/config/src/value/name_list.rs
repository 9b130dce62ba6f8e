//! Lists of names.

use super::{Name, ValueKind};

/// One or more distinct names, separated by commas.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NameList {
    /// Maximum number of names.
    pub(crate) max: usize,
}

impl ValueKind for NameList {
    type Value = Vec<String>;

    fn parse(&self, text: &str) -> Option<Vec<String>> {
        let names: Vec<String> =
            text.split(',').map(|name| Name.parse(name.trim())).collect::<Option<_>>()?;
        let distinct = names.iter().enumerate().all(|(index, name)| !names[..index].contains(name));
        (distinct && names.len() <= self.max).then_some(names)
    }

    fn allowed(&self) -> String {
        format!("1 to {} different names, separated by commas, each {}", self.max, Name.allowed())
    }
}
