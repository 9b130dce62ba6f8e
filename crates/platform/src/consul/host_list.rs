//! The catalog API.

use std::time::Instant;

use flamingorock_core::control::HostEntry;
use ureq::http::Method;

use super::catalog_node::CatalogNode;
use super::client::Client;
use crate::{HostList, StoreError};

/// Client of the Consul catalog HTTP API. Clones share their connections.
#[derive(Clone, Debug)]
pub struct ConsulHostList {
    client: Client,
}

impl ConsulHostList {
    /// Creates a client of the service at `http://IP:PORT`. Nothing is connected yet.
    #[must_use]
    pub fn new(url: &str) -> Self {
        Self { client: Client::new(url) }
    }
}

impl HostList for ConsulHostList {
    fn read(&self, deadline: Instant) -> Result<Vec<HostEntry>, StoreError> {
        let answer = self.client.call(Method::GET, "/v1/catalog/nodes", &[], deadline)?;
        if answer.status != 200 {
            // A missing list must not look like an empty one.
            let url = self.client.url().to_owned();
            let message = "no list of nodes".to_owned();
            return Err(StoreError::Refused { url, status: answer.status, message });
        }
        let nodes: Vec<CatalogNode> = serde_json::from_slice(&answer.body)
            .map_err(|error| self.client.no_answer(&error.to_string()))?;
        let mut hosts: Vec<_> = nodes.into_iter().filter_map(CatalogNode::into_host).collect();
        hosts.sort_by(|a, b| a.name.cmp(&b.name));
        Ok(hosts)
    }
}
