//! Sections of an INI file.

use crate::entry::Entry;

/// A section with its entries in file order.
#[derive(Clone, Debug)]
pub(crate) struct Section {
    /// Name between the brackets, with white space collapsed to single spaces.
    pub(crate) name: String,
    /// Line number of the header, starting at 1.
    pub(crate) line: usize,
    /// Key-value pairs.
    pub(crate) entries: Vec<Entry>,
}

impl Section {
    /// Splits a name such as `rank ledger/urgent` into its kind and the name
    /// after it, which is empty if there is none.
    pub(crate) fn kind_and_name(&self) -> (&str, &str) {
        match self.name.split_once(' ') {
            Some((kind, name)) => (kind, name),
            None => (&self.name, ""),
        }
    }

    /// Finds the first entry with a key.
    pub(crate) fn entry(&self, key: &str) -> Option<&Entry> {
        self.entries.iter().find(|entry| entry.key == key)
    }

    /// Removes and returns the entries whose key already occurs earlier in the section.
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

    /// Returns the line number of a key, or of the header if the section lacks the key.
    pub(crate) fn line_of(&self, key: &str) -> usize {
        self.entry(key).map_or(self.line, |entry| entry.line)
    }
}
