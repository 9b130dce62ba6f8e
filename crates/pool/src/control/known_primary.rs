//! What this proxy knows about a primary.

use bytes::Bytes;
use flamingorock_core::Term;

/// The primary of a replica set, as far as this proxy knows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KnownPrimary {
    /// No primary is known; the instances are polled.
    Unknown { since_us: u64 },
    /// This instance is the primary. It may be unreachable.
    Leader { instance: Bytes, term: Term },
}
