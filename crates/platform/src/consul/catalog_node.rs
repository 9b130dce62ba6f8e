//! Nodes in responses of the catalog API.

use std::collections::BTreeMap;

use flamingorock_core::control::HostEntry;
use serde::Deserialize;

/// One element of the response to `GET /v1/catalog/nodes`.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct CatalogNode {
    node: String,
    address: String,
    meta: Option<BTreeMap<String, String>>,
}

impl CatalogNode {
    /// Converts the node to a host. Returns `None` if its address is not an IP address, because no
    /// instance can be matched to it.
    pub(super) fn into_host(self) -> Option<HostEntry> {
        let state = self.meta.as_ref().and_then(|meta| meta.get("state"));
        let leaving = state.is_some_and(|state| state == "leaving");
        Some(HostEntry { address: self.address.parse().ok()?, name: self.node, leaving })
    }
}
