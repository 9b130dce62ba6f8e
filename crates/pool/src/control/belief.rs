//! Beliefs about primaries.

use bytes::Bytes;
use flamingorock_core::Term;

/// What is believed about a replica set's primary.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Belief {
    /// Nothing; the instances are asked.
    Searching { since_us: u64 },
    /// An instance leads.
    Leading { instance: Bytes, term: Term },
}
