//! The `[host]` section of the settings file.

use flamingorock_core::HostId;

use crate::section_reader::SectionReader;
use crate::value::{Integer, Name};

/// Identity of the host that the process runs on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostSettings {
    /// Number of the host, from 1 to 65535 and unique in the fleet.
    pub id: HostId,
    /// Name of the host; letters, digits, `-` and `_`.
    pub name: String,
    /// Data centre of the host. Reads from replicas prefer instances in the same one.
    pub data_centre: String,
}

impl HostSettings {
    pub(super) fn read(reader: &mut SectionReader<'_>) -> Option<Self> {
        let id = reader.required("id", &Integer::new(1, 65_535));
        let name = reader.required("name", &Name);
        let data_centre = reader.required("data_centre", &Name);
        Some(Self { id: HostId(id?), name: name?, data_centre: data_centre? })
    }
}
