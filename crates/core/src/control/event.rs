//! Inputs of the control-plane state machine.

use std::sync::Arc;

use super::{HostEntry, StoreResponse};
use crate::configuration::Configuration;
use crate::message::{ControlMessage, Heartbeat};
use crate::traffic::ProbeFailure;
use crate::{DatabaseId, HostId, InstanceCallKey, InstanceReport, StoreCallKey};

/// An input from the network, the traffic threads or an operator. Events are queued and take effect
/// in the next tick.
#[derive(Clone, Debug)]
pub enum Event {
    /// A heartbeat arrived.
    HeartbeatReceived(Heartbeat),
    /// A message arrived from the control thread of another proxy.
    MessageReceived {
        /// Host of the sending proxy.
        from: HostId,
        /// Decoded message.
        message: ControlMessage,
    },
    /// A call to the key-value service has ended, with a response or without.
    StoreCallCompleted {
        /// Key from the [`Action::CallStore`](super::Action::CallStore).
        call: StoreCallKey,
        /// [`StoreResponse::Failed`] if the service did not respond in time.
        response: StoreResponse,
    },
    /// The platform's host list was read; it replaces the previous list.
    HostListRead(Vec<HostEntry>),
    /// A configuration document was parsed and validated.
    ConfigurationParsed {
        /// Version of the document.
        version: u64,
        /// The configuration, or a description of the error for the log.
        result: Result<Arc<Configuration>, String>,
    },
    /// A call to a database instance has ended, with a response or without.
    InstanceCallCompleted {
        /// Key from the [`Action::CallInstance`](super::Action::CallInstance).
        call: InstanceCallKey,
        /// Status that the instance reported with its response, or why there is none.
        result: Result<InstanceReport, ProbeFailure>,
    },
    /// The traffic threads no longer run any request or transaction in a database that has stopped
    /// admitting work.
    Quiescent {
        /// Database that a switchover or a handover closed for new work.
        database: DatabaseId,
        /// Owner epoch that the traffic threads served; ignored unless it is the current one.
        epoch: u32,
    },
    /// A traffic thread has seen an owner epoch above the one that it serves under.
    Superseded {
        /// Database with a newer owner.
        database: DatabaseId,
        /// Higher epoch; its owner is not known yet.
        epoch: u32,
    },
    /// An operator asked for a switchover of the primary.
    SwitchoverRequested {
        /// Database whose primary is to move.
        database: DatabaseId,
        /// Index in the configuration of the instance that is to become primary.
        instance_index: u8,
    },
    /// The process was asked to shut down after handing over its databases.
    DrainRequested,
}
