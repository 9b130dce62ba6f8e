//! Sections of an INI file.

use crate::entry::Entry;

/// A section with its keys in the order of the file.
#[derive(Clone, Debug)]
pub(crate) struct Section {
    /// Name in brackets.
    pub(crate) name: String,
    /// Line of the header.
    pub(crate) line: usize,
    /// Keys and values.
    pub(crate) entries: Vec<Entry>,
}

impl Section {
    /// Splits a name such as `rank ledger/urgent` into its kind and the rest.
    pub(crate) fn kind_and_name(&self) -> (&str, &str) {
        match self.name.split_once(' ') {
            Some((kind, name)) => (kind, name),
            None => (&self.name, ""),
        }
    }

    /// Finds an entry.
    pub(crate) fn entry(&self, key: &str) -> Option<&Entry> {
        self.entries.iter().find(|entry| entry.key == key)
    }

    /// Takes out all entries whose key occurs above them.
    pub(crate) fn remove_duplicates(&mut self) -> Vec<Entry> {
        let mut removed = Vec::new();
        for entry in std::mem::take(&mut self.entries) {
            if self.entry(&entry.key).is_some() {
                removed.push(entry);
            } else {
                self.entries.push(entry);
            }
        }
        removed
    }

    /// Line of a key, or of the header if the section does not have it.
    pub(crate) fn line_of(&self, key: &str) -> usize {
        self.entry(key).map_or(self.line, |entry| entry.line)
    }
}
