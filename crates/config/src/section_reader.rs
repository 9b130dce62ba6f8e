//! Typed access to the keys of a section.

use crate::ConfigError;
use crate::section::Section;
use crate::value::ValueKind;

/// Parses the keys of one section and collects the errors.
#[derive(Debug)]
pub(crate) struct SectionReader<'a> {
    file: &'a str,
    name: &'a str,
    section: Option<&'a Section>,
    errors: &'a mut Vec<ConfigError>,
    known_keys: Vec<&'static str>,
}

impl<'a> SectionReader<'a> {
    /// Creates a reader. `section` is `None` if the file lacks the section; then every required key
    /// is reported as missing.
    pub(crate) fn new(
        file: &'a str,
        name: &'a str,
        section: Option<&'a Section>,
        errors: &'a mut Vec<ConfigError>,
    ) -> Self {
        Self { file, name, section, errors, known_keys: Vec::new() }
    }

    /// Parses a required key. A missing or invalid value is reported.
    pub(crate) fn required<K: ValueKind>(
        &mut self,
        key: &'static str,
        kind: &K,
    ) -> Option<K::Value> {
        self.known_keys.push(key);
        if self.section.is_none_or(|section| section.entry(key).is_none()) {
            self.error(key, "nothing", &kind.allowed());
            return None;
        }
        self.parse(key, kind)
    }

    /// Parses an optional key and returns `default` if it is missing. An invalid value is reported.
    pub(crate) fn optional<K: ValueKind>(
        &mut self,
        key: &'static str,
        kind: &K,
        default: K::Value,
    ) -> Option<K::Value> {
        self.known_keys.push(key);
        if self.section.is_none_or(|section| section.entry(key).is_none()) {
            return Some(default);
        }
        self.parse(key, kind)
    }

    /// Reports an error for a key.
    pub(crate) fn error(&mut self, key: &str, found: &str, allowed: &str) {
        self.errors.push(ConfigError {
            file: self.file.to_owned(),
            line: self.section.map_or(0, |section| section.line_of(key)),
            section: Some(self.name.to_owned()),
            key: Some(key.to_owned()),
            found: found.to_owned(),
            allowed: allowed.to_owned(),
        });
    }

    /// Reports the keys of the section that no call of `required` or `optional` has read.
    pub(crate) fn finish(mut self) {
        let Some(section) = self.section else { return };
        let allowed = self.known_keys.join(", ");
        for entry in &section.entries {
            if !self.known_keys.contains(&entry.key.as_str()) {
                self.error(&entry.key, "an unknown key", &allowed);
            }
        }
    }

    fn parse<K: ValueKind>(&mut self, key: &str, kind: &K) -> Option<K::Value> {
        let text = &self.section?.entry(key)?.value;
        let value = kind.parse(text);
        if value.is_none() {
            self.error(key, &kind.found(text), &kind.allowed());
        }
        value
    }
}
