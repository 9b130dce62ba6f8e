//! The `[log]` section of the settings file.

use super::{LogFormat, LogLevel};
use crate::section_reader::SectionReader;
use crate::value::Choice;

/// Settings of log output.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LogSettings {
    /// Format of log lines.
    pub format: LogFormat,
    /// Least severe level that is written.
    pub level: LogLevel,
}

impl LogSettings {
    pub(super) fn read(reader: &mut SectionReader<'_>) -> Option<Self> {
        let format = reader.optional("format", &Choice(&LogFormat::VALUES), LogFormat::default());
        let level = reader.optional("level", &Choice(&LogLevel::VALUES), LogLevel::default());
        Some(Self { format: format?, level: level? })
    }
}
