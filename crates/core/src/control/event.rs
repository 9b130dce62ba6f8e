//! Inputs of the control machine.

use std::sync::Arc;

use super::{HostEntry, StoreResponse};
use crate::configuration::Configuration;
use crate::message::{ControlMessage, Heartbeat};
use crate::traffic::ProbeFailure;
use crate::{DatabaseId, HostId, InstanceCallKey, InstanceReport, StoreCallKey};

/// Something that happened outside the control machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// A heartbeat arrived.
    HeartbeatReceived(Heartbeat),
    /// A message arrived from the control thread of another proxy.
    MessageReceived {
        /// Sender.
        from: HostId,
        /// The message.
        message: ControlMessage,
    },
    /// The key-value service answered, or did not.
    StoreCallCompleted {
        /// The call.
        call: StoreCallKey,
        /// The answer.
        response: StoreResponse,
    },
    /// The host list was read.
    HostListRead(Vec<HostEntry>),
    /// A configuration document was parsed and checked.
    ConfigurationParsed {
        /// Version of the document.
        version: u64,
        /// The configuration, or a message for the log.
        result: Result<Arc<Configuration>, String>,
    },
    /// An instance answered a group call, or did not.
    InstanceCallCompleted {
        /// The call.
        call: InstanceCallKey,
        /// What it said.
        result: Result<InstanceReport, ProbeFailure>,
    },
    /// The traffic threads have nothing running any more in a database that admits no work.
    Quiescent {
        /// The database.
        database: DatabaseId,
        /// Epoch of the ownership that ended.
        epoch: u32,
    },
    /// A traffic thread saw a sign of a newer owner.
    Superseded {
        /// The database.
        database: DatabaseId,
        /// Epoch seen.
        epoch: u32,
    },
    /// An operator asked for a planned change of primary.
    SwitchoverRequested {
        /// The database.
        database: DatabaseId,
        /// Index of the instance that is to become primary.
        instance_index: u8,
    },
    /// The process was told to shut down.
    DrainRequested,
}
