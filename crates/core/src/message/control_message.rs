//! Messages between control threads of proxies, over TCP.

use serde::{Deserialize, Serialize};

use crate::{DatabaseId, HostId};

/// A message between control threads of proxies.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ControlMessage {
    /// Asks for the configuration document in force at the receiver.
    ConfigurationRequest,
    /// Carries a configuration document.
    ConfigurationDocument {
        /// Version of the document.
        version: u64,
        /// The document as the operator wrote it.
        text: String,
    },
    /// Hands a database over to its standby, which uses its reserved epoch.
    TakeOver {
        /// The database.
        database: DatabaseId,
        /// Host that gives the database up.
        from: HostId,
        /// Epoch of the host that gives it up.
        from_epoch: u32,
    },
}
