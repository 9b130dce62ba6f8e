//! Parsed INI files that keep line numbers.

use ini::{Ini, ParseOption};

use crate::ConfigError;
use crate::entry::Entry;
use crate::line::Line;
use crate::section::Section;

/// The sections and keys of an INI file, without duplicates.
#[derive(Debug)]
pub(crate) struct Document {
    /// File name used in error messages.
    pub(crate) file: String,
    /// Sections in file order.
    pub(crate) sections: Vec<Section>,
}

impl Document {
    /// Parses an INI file. Malformed lines and duplicates are reported and skipped. Returns `None`
    /// if a section header is malformed, because the keys below it would be assigned to the wrong
    /// section.
    pub(crate) fn parse(text: &str, file: &str, errors: &mut Vec<ConfigError>) -> Option<Self> {
        let text = text.strip_prefix('\u{feff}').unwrap_or(text);
        let lines: Vec<Line<'_>> = text.lines().map(Line::parse).collect();
        report_malformed_lines(text, &lines, file, errors);
        if lines.contains(&Line::MalformedHeader) {
            return None;
        }
        let ini = match read_ini(text, &lines) {
            Ok(ini) => ini,
            Err(error) => {
                errors.push(ConfigError::in_file(file, error.line, &error.msg, "an INI file"));
                return None;
            }
        };
        let sections = locate_sections(&ini, &lines).or_else(|| {
            errors.push(ConfigError::in_file(file, 0, "a text that cannot be read", "an INI file"));
            None
        })?;
        let mut document = Self { file: file.to_owned(), sections };
        document.remove_duplicates(errors);
        Some(document)
    }

    /// Finds a section by its full name, such as `rank ledger/urgent`.
    pub(crate) fn section(&self, name: &str) -> Option<&Section> {
        self.sections.iter().find(|section| section.name == name)
    }

    fn remove_duplicates(&mut self, errors: &mut Vec<ConfigError>) {
        let mut kept: Vec<Section> = Vec::new();
        for mut section in std::mem::take(&mut self.sections) {
            if let Some(first) = kept.iter().find(|other| other.name == section.name) {
                let found = describe_duplicate("section", first.line);
                errors.push(ConfigError::in_section(&self.file, &section, &found, ALLOWED_ONCE));
                continue;
            }
            for entry in section.remove_duplicates() {
                let found = describe_duplicate("key", section.line_of(&entry.key));
                let error =
                    ConfigError::in_key(&self.file, &section, &entry.key, &found, ALLOWED_ONCE);
                errors.push(ConfigError { line: entry.line, ..error });
            }
            kept.push(section);
        }
        self.sections = kept;
    }
}

const ALLOWED_ONCE: &str = "each name once";

fn describe_duplicate(what: &str, first_line: usize) -> String {
    format!("a second {what} of this name, the first is in line {first_line}")
}

/// Reports malformed lines and keys above the first section header.
fn report_malformed_lines(
    text: &str,
    lines: &[Line<'_>],
    file: &str,
    errors: &mut Vec<ConfigError>,
) {
    let mut section = None;
    for (index, (line, source)) in lines.iter().zip(text.lines()).enumerate() {
        // The line may contain part of the admin key, which must not appear in error messages.
        let found = if section == Some("admin") {
            format!("a line of {} characters", source.chars().count())
        } else {
            format!("\"{}\"", source.trim().escape_debug())
        };
        let allowed = match line {
            Line::Header(name) => {
                section = Some(*name);
                continue;
            }
            Line::Key(_) if section.is_none() => "a section header above the first key",
            Line::Blank | Line::Key(_) => continue,
            Line::MalformedHeader => "[section]",
            Line::Malformed => "[section], key = value, or a comment that starts with ; or #",
        };
        let error = ConfigError::in_file(file, index + 1, &found, allowed);
        errors.push(ConfigError { section: section.map(str::to_owned), ..error });
    }
}

/// Parses the well-formed lines with `rust-ini`. All other lines are replaced by empty ones, so
/// that line numbers stay the same.
fn read_ini(text: &str, lines: &[Line<'_>]) -> Result<Ini, ini::ParseError> {
    let mut in_section = false;
    let mut well_formed = String::with_capacity(text.len());
    for (line, source) in lines.iter().zip(text.lines()) {
        in_section |= matches!(line, Line::Header(_));
        if in_section && matches!(line, Line::Header(_) | Line::Key(_)) {
            well_formed.push_str(source.trim());
        }
        well_formed.push('\n');
    }
    let option =
        ParseOption { enabled_quote: false, enabled_escape: false, ..ParseOption::default() };
    Ini::load_from_str_opt(&well_formed, option)
}

/// Assigns line numbers to the sections and keys that `rust-ini` parsed. Returns `None` if its
/// result does not match the headers and keys of `lines`.
fn locate_sections(ini: &Ini, lines: &[Line<'_>]) -> Option<Vec<Section>> {
    let mut located = lines
        .iter()
        .enumerate()
        .skip_while(|(_, line)| !matches!(line, Line::Header(_)))
        .filter(|(_, line)| matches!(line, Line::Header(_) | Line::Key(_)));
    let mut sections = Vec::new();
    for (name, properties) in ini.iter() {
        let Some(name) = name else { continue };
        let (index, line) = located.next()?;
        if *line != Line::Header(name) {
            return None;
        }
        let mut section =
            Section { name: normalize_whitespace(name), line: index + 1, entries: Vec::new() };
        for (key, value) in properties.iter() {
            let (index, line) = located.next()?;
            if *line != Line::Key(key) {
                return None;
            }
            let (key, value) = (key.to_owned(), value.trim().to_owned());
            section.entries.push(Entry { line: index + 1, key, value });
        }
        sections.push(section);
    }
    located.next().is_none().then_some(sections)
}

/// Collapses white space in a section name to single spaces, so that equal names compare equal.
fn normalize_whitespace(name: &str) -> String {
    name.split_whitespace().collect::<Vec<_>>().join(" ")
}
