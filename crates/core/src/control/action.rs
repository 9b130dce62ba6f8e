//! Outputs of the control-plane state machine.

use std::sync::Arc;

use super::{InstanceOperation, StoreOperation};
use crate::message::{ControlMessage, Heartbeat};
use crate::{HostId, InstanceCallKey, InstanceId, StoreCallKey, View};

/// A side effect that the I/O layer performs for the state machine.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a heartbeat datagram.
    SendHeartbeat {
        /// Peers that each get a copy.
        to: Vec<HostId>,
        /// Shared by all receivers; encoded by the I/O layer.
        heartbeat: Arc<Heartbeat>,
    },
    /// Send a message to the control thread of another proxy.
    SendMessage {
        /// Host of the receiving proxy.
        to: HostId,
        /// Message to deliver. It can be lost: requests and offers are repeated until they take
        /// effect.
        message: ControlMessage,
    },
    /// Call the key-value service; the response is
    /// [`Event::StoreCallCompleted`](super::Event::StoreCallCompleted).
    CallStore {
        /// Identifies the call in its response.
        call: StoreCallKey,
        /// Read, watch or write to perform.
        operation: StoreOperation,
        /// Monotonic time at which the I/O layer reports the call as failed.
        deadline_us: u64,
    },
    /// Call a replication function of a database instance; the response is
    /// [`Event::InstanceCallCompleted`](super::Event::InstanceCallCompleted).
    CallInstance {
        /// Identifies the call in its response.
        call: InstanceCallKey,
        /// Instance to call over its monitor connection.
        instance: InstanceId,
        /// Function to call.
        operation: InstanceOperation,
        /// Monotonic time at which the I/O layer reports the call as failed.
        deadline_us: u64,
    },
    /// Parse and validate a configuration document; the response is
    /// [`Event::ConfigurationParsed`](super::Event::ConfigurationParsed).
    ParseConfiguration {
        /// Version of the document, repeated in the response.
        version: u64,
        /// Unparsed text of the document.
        text: String,
    },
    /// Publish a view to the traffic threads.
    Publish(Arc<View>),
    /// This host owns no database any more; the process can exit once its callers have
    /// disconnected.
    DrainFinished,
    /// Write a state change to the log.
    Log(super::StateChange),
}
