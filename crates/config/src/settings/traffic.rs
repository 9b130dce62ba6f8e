//! The `[traffic]` section of the settings file.

use crate::section_reader::SectionReader;
use crate::value::Integer;

/// Settings of the traffic threads.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TrafficSettings {
    /// Number of traffic threads, from 1 to 64.
    pub threads: u8,
    /// Maximum number of callers connected to the process.
    pub callers_limit: u32,
}

impl TrafficSettings {
    const DEFAULT_THREADS: u8 = 1;
    const DEFAULT_CALLERS_LIMIT: u32 = 6000;

    pub(super) fn read(reader: &mut SectionReader<'_>) -> Option<Self> {
        let threads = reader.optional("threads", &Integer::new(1, 64), Self::DEFAULT_THREADS);
        let callers_limit = reader.optional(
            "callers_limit",
            &Integer::new(1, 1_000_000),
            Self::DEFAULT_CALLERS_LIMIT,
        );
        Some(Self { threads: threads?, callers_limit: callers_limit? })
    }
}
