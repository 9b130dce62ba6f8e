//! The `[admin]` section of the settings file.

use super::AdminKey;
use crate::section_reader::SectionReader;
use crate::value::Secret;

/// Settings of the admin port.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdminSettings {
    /// Key that admin requests must carry.
    pub key: AdminKey,
}

impl AdminSettings {
    pub(super) fn read(reader: &mut SectionReader<'_>) -> Option<Self> {
        let key = reader.required("key", &Secret { min: 16, max: 256 })?;
        Some(Self { key: AdminKey::new(key) })
    }
}
