//! Section `host_list`.

use crate::ServiceUrl;
use crate::section_reader::SectionReader;
use crate::value::Url;

/// Settings of the platform's host list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HostListSettings {
    /// Address of the service.
    pub url: ServiceUrl,
}

impl HostListSettings {
    pub(super) fn read(reader: &mut SectionReader<'_>) -> Option<Self> {
        Some(Self { url: reader.required("url", &Url)? })
    }
}
