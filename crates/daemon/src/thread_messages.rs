//! Messages between the threads of the process.

use std::sync::Arc;

use crossbeam::channel::Sender;
use flamingorock_core::control::{HostEntry, StoreResponse};
use flamingorock_core::message::{ControlMessage, TrafficMessage};
use flamingorock_core::{DatabaseId, HostId, StoreCallKey, View};
use flamingorock_peer::CallerCancel;

use crate::admin::AdminRequest;
use crate::traffic::Statistics;

/// A message to a traffic thread.
#[derive(Debug)]
pub enum TrafficThreadMessage {
    /// A new view from the control thread, which replaces the previous one.
    View(Arc<View>),
    /// A message from another proxy or from another traffic thread of this one.
    Message {
        /// Host that sent it.
        from: HostId,
        /// Decoded message.
        message: TrafficMessage,
    },
    /// An incoming link from a host was lost.
    LinkLost {
        /// Host at the other end.
        host: HostId,
    },
    /// A request to cancel the statement of one of the thread's callers.
    Cancel(CallerCancel),
    /// Requests the counters and table sizes, to be sent to the given channel.
    Statistics(Sender<Statistics>),
    /// Ends the thread because the process exits.
    Stop,
}

/// A message to the control thread.
#[derive(Debug)]
pub enum ControlThreadMessage {
    /// A message from another proxy's control thread.
    Message {
        /// Host that sent it.
        from: HostId,
        /// Decoded message.
        message: ControlMessage,
    },
    /// A call to the key-value service has ended, with or without a response.
    StoreCallCompleted {
        /// Key of the call.
        call: StoreCallKey,
        /// Result of the call.
        response: StoreResponse,
    },
    /// The hosts in the host list, after it was read successfully.
    HostListRead(Vec<HostEntry>),
    /// No request is running any more in a database that does not admit new ones.
    Quiescent {
        /// The database.
        database: DatabaseId,
        /// Epoch of the ownership that ended.
        epoch: u32,
    },
    /// A traffic thread has seen a higher epoch of a database, and thus that a newer owner exists.
    Superseded {
        /// The database.
        database: DatabaseId,
        /// The higher epoch.
        epoch: u32,
    },
    /// A draining traffic thread has no callers and no output left.
    TrafficIdle {
        /// Index of the traffic thread.
        thread: u8,
    },
    /// A thread ended unexpectedly.
    ThreadEnded {
        /// Name of the thread for messages, such as "a traffic thread".
        thread: &'static str,
    },
    /// A request to the admin port.
    Admin(AdminRequest),
}
