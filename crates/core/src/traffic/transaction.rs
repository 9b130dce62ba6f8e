//! Open transactions at the owner.

use crate::{ConnectionKey, DatabaseId, HostId};

/// An open transaction, which holds its connection until it ends.
#[derive(Clone, Debug)]
pub(crate) struct Transaction {
    pub(crate) database: DatabaseId,
    pub(crate) connection: ConnectionKey,
    /// Entry proxy of the session that opened it.
    pub(crate) origin: HostId,
    /// Whether it has run a statement that may write.
    pub(crate) wrote: bool,
    /// Time at which it is rolled back for being idle; `None` while a statement runs or waits.
    pub(crate) idle_deadline_us: Option<u64>,
}
