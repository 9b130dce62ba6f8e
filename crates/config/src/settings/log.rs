//! Section `log`.

use super::{LogFormat, LogLevel};
use crate::section_reader::SectionReader;
use crate::value::Choice;

/// Settings of the log.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LogSettings {
    /// Form of a line.
    pub format: LogFormat,
    /// Least level that is written.
    pub level: LogLevel,
}

impl LogSettings {
    pub(super) fn read(reader: &mut SectionReader<'_>) -> Option<Self> {
        let format = reader.optional("format", &Choice(&LogFormat::WORDS), LogFormat::default());
        let level = reader.optional("level", &Choice(&LogLevel::WORDS), LogLevel::default());
        Some(Self { format: format?, level: level? })
    }
}
