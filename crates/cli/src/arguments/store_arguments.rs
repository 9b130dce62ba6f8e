//! Arguments that name the store.

use std::path::PathBuf;

use clap::Args;
use flamingorock_config::{ServiceUrl, Settings};
use flamingorock_platform::{ConsulStore, Keys};

use crate::{Failure, StoreClient};

/// Where the configuration is kept.
#[derive(Args, Clone, Debug)]
pub struct StoreArguments {
    /// Key-value service, `http://IP:PORT`.
    #[arg(
        long,
        value_name = "URL",
        value_parser = parse_url,
        required_unless_present = "settings",
        conflicts_with = "settings",
    )]
    pub store: Option<ServiceUrl>,
    /// First part of all keys.
    #[arg(long, default_value = "flamingorock", conflicts_with = "settings")]
    pub prefix: String,
    /// Settings file of a proxy, to take the store and the prefix from.
    #[arg(long, value_name = "FILE")]
    pub settings: Option<PathBuf>,
}

impl StoreArguments {
    /// Creates a client of the store.
    pub(crate) fn client(&self, limit_ms: u64) -> Result<StoreClient<ConsulStore>, Failure> {
        let (url, prefix) = match (&self.store, &self.settings) {
            (Some(url), _) => (*url, self.prefix.clone()),
            (None, Some(file)) => {
                let settings = Settings::load(file)?;
                (settings.store.url, settings.store.prefix)
            }
            (None, None) => {
                let reason = "neither --store nor --settings is given".to_owned();
                return Err(Failure::Refused { reason });
            }
        };
        Ok(StoreClient::new(ConsulStore::new(&url.to_string()), Keys::new(prefix), limit_ms))
    }
}

fn parse_url(text: &str) -> Result<ServiceUrl, String> {
    ServiceUrl::parse(text)
        .ok_or_else(|| "http://IP:PORT with the IP number of a host is allowed".to_owned())
}
