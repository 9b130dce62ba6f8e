//! Section `store`.

use crate::ServiceUrl;
use crate::section_reader::SectionReader;
use crate::value::{Prefix, Url};

/// Settings of the platform's key-value service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreSettings {
    /// Address of the service.
    pub url: ServiceUrl,
    /// First part of all keys.
    pub prefix: String,
}

impl StoreSettings {
    /// First part of all keys unless set.
    pub const DEFAULT_PREFIX: &'static str = "flamingorock";

    pub(super) fn read(reader: &mut SectionReader<'_>) -> Option<Self> {
        let url = reader.required("url", &Url);
        let prefix = reader.optional("prefix", &Prefix, Self::DEFAULT_PREFIX.to_owned());
        Some(Self { url: url?, prefix: prefix? })
    }
}
