//! Paths from a caller to the database.

use std::fmt;
use std::net::SocketAddr;

use crate::bench_error::BenchError;
use crate::fleet::Fleet;
use crate::load::SessionOptions;

/// Maximum age of the data that reads over the stale paths may return.
const MAX_STALENESS_MS: u32 = 2_000;

/// A path from a caller to the database.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Path {
    pub(crate) kind: PathKind,
    pub(crate) address: SocketAddr,
    pub(crate) options: SessionOptions,
}

/// Where a path enters, and whether replicas may serve its reads.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PathKind {
    /// Directly to the primary, without a proxy.
    Direct,
    /// Through the owning proxy.
    Owner,
    /// Through another proxy, which forwards to the owning one.
    Entry,
    /// Through the owning proxy, with reads that replicas may serve.
    OwnerStale,
    /// Through another proxy, with reads that replicas may serve.
    EntryStale,
}

impl Path {
    /// Whether replicas may serve its reads.
    pub(crate) fn allows_stale_reads(&self) -> bool {
        matches!(self.kind, PathKind::OwnerStale | PathKind::EntryStale)
    }
}

/// Returns all paths, the direct one first.
pub(crate) fn paths(fleet: &Fleet) -> Result<Vec<Path>, BenchError> {
    let owner = fleet.owner()?;
    let (owner, entry) =
        (fleet.proxies[owner].caller_address, fleet.proxies[1 - owner].caller_address);
    let path = |kind, address, max_staleness_ms| {
        let options = SessionOptions { max_staleness_ms };
        Path { kind, address, options }
    };
    Ok(vec![
        path(PathKind::Direct, fleet.primary()?, None),
        path(PathKind::Owner, owner, Some(0)),
        path(PathKind::Entry, entry, Some(0)),
        path(PathKind::OwnerStale, owner, Some(MAX_STALENESS_MS)),
        path(PathKind::EntryStale, entry, Some(MAX_STALENESS_MS)),
    ])
}

impl fmt::Display for PathKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Direct => "direct",
            Self::Owner => "owner",
            Self::Entry => "entry + hop",
            Self::OwnerStale => "owner, stale read",
            Self::EntryStale => "entry + hop, stale read",
        })
    }
}
