//! Records of the instances of replica sets in the store.

use bytes::Bytes;
use flamingorock_core::Term;
use serde::{Deserialize, Serialize};

use crate::InstanceEntry;

/// The instances of a replica set as the proxies knew them last. The instances' own entries may have
/// lapsed while the store was away; a proxy that starts then reads them here.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DirectoryRecord {
    /// The instances, by id.
    pub instances: Vec<InstanceEntry>,
    /// The primary.
    pub primary: Bytes,
    /// Term of the primary.
    pub term: Term,
}
