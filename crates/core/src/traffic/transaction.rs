//! Open transactions at the owner of their database.

use crate::{ConnectionKey, DatabaseId, HostId};

/// An open transaction. It holds its connection until it ends.
#[derive(Clone, Debug)]
pub(crate) struct Transaction {
    pub(crate) database: DatabaseId,
    pub(crate) connection: ConnectionKey,
    /// Entry proxy of the session.
    pub(crate) origin: HostId,
    /// Whether anything but reads ran in it.
    pub(crate) wrote: bool,
    /// When it is rolled back for being idle; `None` while a statement runs or waits.
    pub(crate) idle_deadline_us: Option<u64>,
}
