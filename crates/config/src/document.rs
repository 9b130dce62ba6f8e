//! INI files with line numbers.

use ini::{Ini, ParseOption};

use crate::ConfigError;
use crate::entry::Entry;
use crate::line::Line;
use crate::section::Section;

/// A file as sections and keys. Duplicates have been reported and left out.
#[derive(Debug)]
pub(crate) struct Document {
    /// Name of the file.
    pub(crate) file: String,
    /// Sections in the order of the file.
    pub(crate) sections: Vec<Section>,
}

impl Document {
    /// Reads a text. Lines that cannot be read are reported and left out; `None` if a section header
    /// is among them, because the keys below it would be counted to the wrong section.
    pub(crate) fn parse(text: &str, file: &str, errors: &mut Vec<ConfigError>) -> Option<Self> {
        let text = text.strip_prefix('\u{feff}').unwrap_or(text);
        let lines: Vec<Line<'_>> = text.lines().map(Line::read).collect();
        report_malformed(text, &lines, file, errors);
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
        let sections = locate(&ini, &lines).or_else(|| {
            errors.push(ConfigError::in_file(file, 0, "a text that cannot be read", "an INI file"));
            None
        })?;
        let mut document = Self { file: file.to_owned(), sections };
        document.remove_duplicates(errors);
        Some(document)
    }

    /// Finds a section by its whole name.
    pub(crate) fn section(&self, name: &str) -> Option<&Section> {
        self.sections.iter().find(|section| section.name == name)
    }

    fn remove_duplicates(&mut self, errors: &mut Vec<ConfigError>) {
        let mut kept: Vec<Section> = Vec::new();
        for mut section in std::mem::take(&mut self.sections) {
            if let Some(first) = kept.iter().find(|other| other.name == section.name) {
                let found = second("section", first.line);
                errors.push(ConfigError::in_section(&self.file, &section, &found, ONCE));
                continue;
            }
            for entry in section.remove_duplicates() {
                let found = second("key", section.line_of(&entry.key));
                let error = ConfigError::in_key(&self.file, &section, &entry.key, &found, ONCE);
                errors.push(ConfigError { line: entry.line, ..error });
            }
            kept.push(section);
        }
        self.sections = kept;
    }
}

const ONCE: &str = "each name once";

fn second(what: &str, first_line: usize) -> String {
    format!("a second {what} of this name, the first is in line {first_line}")
}

/// Reports lines that cannot be read and keys above the first section.
fn report_malformed(text: &str, lines: &[Line<'_>], file: &str, errors: &mut Vec<ConfigError>) {
    let mut section = None;
    for (index, (line, source)) in lines.iter().zip(text.lines()).enumerate() {
        // The line may hold a part of the admin key, which errors do not show.
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

/// Reads the lines that can be read; all others are replaced by empty ones.
fn read_ini(text: &str, lines: &[Line<'_>]) -> Result<Ini, ini::ParseError> {
    let mut in_section = false;
    let mut readable = String::with_capacity(text.len());
    for (line, source) in lines.iter().zip(text.lines()) {
        in_section |= matches!(line, Line::Header(_));
        if in_section && matches!(line, Line::Header(_) | Line::Key(_)) {
            readable.push_str(source.trim());
        }
        readable.push('\n');
    }
    let option =
        ParseOption { enabled_quote: false, enabled_escape: false, ..ParseOption::default() };
    Ini::load_from_str_opt(&readable, option)
}

/// Finds the lines of all sections and keys. `None` if the text was read differently from how its
/// lines look.
fn locate(ini: &Ini, lines: &[Line<'_>]) -> Option<Vec<Section>> {
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
        let mut section = Section { name: normalize(name), line: index + 1, entries: Vec::new() };
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

/// Joins the words of a section name by single spaces, so that equal names compare equal.
fn normalize(name: &str) -> String {
    name.split_whitespace().collect::<Vec<_>>().join(" ")
}
