//! Host list from the Consul catalog.

use std::time::Instant;

use flamingorock_core::control::HostEntry;
use ureq::http::Method;

use super::catalog_node::CatalogNode;
use super::client::Client;
use crate::{HostList, StoreError};

/// [`HostList`] backed by the Consul catalog HTTP API. Clones share one connection pool.
#[derive(Clone, Debug)]
pub struct ConsulHostList {
    client: Client,
}

impl ConsulHostList {
    /// Creates a client for the service at `http://IP:PORT`. It connects on the first call.
    #[must_use]
    pub fn new(url: &str) -> Self {
        Self { client: Client::new(url) }
    }
}

impl HostList for ConsulHostList {
    fn read(&self, deadline: Instant) -> Result<Vec<HostEntry>, StoreError> {
        let response = self.client.call(Method::GET, "/v1/catalog/nodes", &[], deadline)?;
        if response.status != 200 {
            // A 404 is an error here: read as an empty list, it would make leaving hosts live
            // again.
            let url = self.client.url().to_owned();
            let message = "no list of nodes".to_owned();
            return Err(StoreError::Refused { url, status: response.status, message });
        }
        let nodes: Vec<CatalogNode> = serde_json::from_slice(&response.body)
            .map_err(|error| self.client.no_response(&error.to_string()))?;
        let mut hosts: Vec<_> = nodes.into_iter().filter_map(CatalogNode::into_host).collect();
        hosts.sort_by(|a, b| a.name.cmp(&b.name));
        Ok(hosts)
    }
}
