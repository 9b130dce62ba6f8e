//! Directory records in the store.

use bytes::Bytes;
use flamingorock_core::Term;
use serde::{Deserialize, Serialize};

use crate::InstanceEntry;

/// The last known instances of a replica set. While the store is unavailable the instances' own
/// entries may expire; a proxy that starts afterwards finds the instances here.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DirectoryRecord {
    /// Entries of the instances, ordered by id.
    pub instances: Vec<InstanceEntry>,
    /// Id of the primary.
    pub primary: Bytes,
    /// Term of the primary.
    pub term: Term,
}
