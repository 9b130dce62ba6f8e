//! Messages that control threads of proxies exchange over TCP.

use serde::{Deserialize, Serialize};

use crate::{DatabaseId, HostId};

/// A message from the control thread of one proxy to that of another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ControlMessage {
    /// Requests the receiver's current configuration document.
    ConfigurationRequest,
    /// Carries a configuration document.
    ConfigurationDocument {
        /// Version that the store assigned to the document.
        version: u64,
        /// Source text of the document as the operator applied it.
        text: String,
    },
    /// Hands a database over to its standby, which becomes owner under its reserved epoch.
    TakeOver {
        /// Database to take over.
        database: DatabaseId,
        /// Host that hands over the database.
        from: HostId,
        /// Ownership epoch of that host.
        from_epoch: u32,
    },
}
