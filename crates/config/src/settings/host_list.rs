//! The `[host_list]` section of the settings file.

use crate::ServiceUrl;
use crate::section_reader::SectionReader;
use crate::value::Url;

/// Settings of the connection to the platform's host list service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HostListSettings {
    /// URL of the service.
    pub url: ServiceUrl,
}

impl HostListSettings {
    pub(super) fn read(reader: &mut SectionReader<'_>) -> Option<Self> {
        Some(Self { url: reader.required("url", &Url)? })
    }
}
