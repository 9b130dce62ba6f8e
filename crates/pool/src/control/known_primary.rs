//! Beliefs about primaries.

use bytes::Bytes;
use flamingorock_core::Term;

/// What is believed about a replica set's primary.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KnownPrimary {
    /// Nothing; the instances are asked.
    Unknown { since_us: u64 },
    /// An instance leads.
    Leader { instance: Bytes, term: Term },
}
