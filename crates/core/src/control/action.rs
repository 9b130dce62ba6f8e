//! Outputs of the control machine.

use std::sync::Arc;

use super::{InstanceOperation, StoreOperation};
use crate::message::{ControlMessage, Heartbeat};
use crate::{HostId, InstanceCallKey, InstanceId, StoreCallKey, View};

/// Something that the I/O layer is to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a heartbeat datagram.
    SendHeartbeat {
        /// Receivers.
        to: Vec<HostId>,
        /// The heartbeat.
        heartbeat: Arc<Heartbeat>,
    },
    /// Send a message to the control thread of another proxy.
    SendMessage {
        /// Receiver.
        to: HostId,
        /// The message.
        message: ControlMessage,
    },
    /// Call the key-value service.
    CallStore {
        /// Key of the call; comes back with the answer.
        call: StoreCallKey,
        /// What to do.
        operation: StoreOperation,
        /// When the call is reported as failed.
        deadline_us: u64,
    },
    /// Call a function of a database instance.
    CallInstance {
        /// Key of the call; comes back with the answer.
        call: InstanceCallKey,
        /// The instance.
        instance: InstanceId,
        /// What to do.
        operation: InstanceOperation,
        /// When the call is reported as failed.
        deadline_us: u64,
    },
    /// Parse and check a configuration document; the answer is `ConfigurationParsed`.
    ParseConfiguration {
        /// Version of the document.
        version: u64,
        /// The document.
        text: String,
    },
    /// Publish a view to the traffic threads.
    Publish(Arc<View>),
    /// Everything has been handed over; the process can end once its callers are gone.
    DrainFinished,
    /// A change of state that belongs in the log.
    Log(super::StateChange),
}
