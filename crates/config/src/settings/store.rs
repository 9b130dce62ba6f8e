//! The `[store]` section of the settings file.

use crate::ServiceUrl;
use crate::section_reader::SectionReader;
use crate::value::{Prefix, Url};

/// Settings of the connection to the platform's key-value service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreSettings {
    /// URL of the service.
    pub url: ServiceUrl,
    /// Prefix of all keys in the store; names separated by `/`.
    pub prefix: String,
}

impl StoreSettings {
    /// Value of `prefix` if the file does not set it.
    pub const DEFAULT_PREFIX: &'static str = "flamingorock";

    pub(super) fn read(reader: &mut SectionReader<'_>) -> Option<Self> {
        let url = reader.required("url", &Url);
        let prefix = reader.optional("prefix", &Prefix, Self::DEFAULT_PREFIX.to_owned());
        Some(Self { url: url?, prefix: prefix? })
    }
}
