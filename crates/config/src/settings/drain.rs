//! The `[drain]` section of the settings file.

use crate::section_reader::SectionReader;
use crate::value::Integer;

/// Settings of a graceful shutdown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DrainSettings {
    /// Time in milliseconds after which the process exits even if requests are still running.
    pub deadline_ms: u32,
}

impl DrainSettings {
    const DEFAULT_DEADLINE_MS: u32 = 25_000;

    pub(super) fn read(reader: &mut SectionReader<'_>) -> Option<Self> {
        let kind = Integer::new(1, 3_600_000);
        let deadline_ms = reader.optional("deadline_ms", &kind, Self::DEFAULT_DEADLINE_MS)?;
        Some(Self { deadline_ms })
    }
}
