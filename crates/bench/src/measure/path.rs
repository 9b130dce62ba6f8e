//! Ways from a caller to the primary.

use std::fmt;
use std::net::SocketAddr;

use crate::bench_error::BenchError;
use crate::fleet::Fleet;
use crate::load::SessionOptions;

/// Age of data that the reads of the stale paths may see.
const STALENESS_MS: u32 = 2_000;

/// A way from a caller to the database.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Path {
    pub(crate) kind: PathKind,
    pub(crate) address: SocketAddr,
    pub(crate) options: SessionOptions,
}

/// Kind of a way.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PathKind {
    /// Straight to the primary.
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
    pub(crate) fn is_stale(&self) -> bool {
        matches!(self.kind, PathKind::OwnerStale | PathKind::EntryStale)
    }
}

/// All ways; the direct one first.
pub(crate) fn paths(fleet: &Fleet) -> Result<Vec<Path>, BenchError> {
    let owner = fleet.owner()?;
    let (owner, entry) = (fleet.proxies[owner].callers, fleet.proxies[1 - owner].callers);
    let path = |kind, address, max_staleness_ms| {
        let options = SessionOptions { max_staleness_ms };
        Path { kind, address, options }
    };
    Ok(vec![
        path(PathKind::Direct, fleet.primary()?, None),
        path(PathKind::Owner, owner, Some(0)),
        path(PathKind::Entry, entry, Some(0)),
        path(PathKind::OwnerStale, owner, Some(STALENESS_MS)),
        path(PathKind::EntryStale, entry, Some(STALENESS_MS)),
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
