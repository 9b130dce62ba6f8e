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
    /// The control thread published a view.
    View(Arc<View>),
    /// A message of another proxy or traffic thread.
    Message {
        /// Host that sent it.
        from: HostId,
        /// The message.
        message: TrafficMessage,
    },
    /// A link from a host broke.
    LinkLost {
        /// The host.
        host: HostId,
    },
    /// A cancel request for one of the thread's callers.
    Cancel(CallerCancel),
    /// Asks for counters and sizes.
    Statistics(Sender<Statistics>),
    /// The process ends.
    Stop,
}

/// A message to the control thread.
#[derive(Debug)]
pub enum ControlThreadMessage {
    /// A message of another proxy's control thread.
    Message {
        /// Host that sent it.
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
    /// Nothing runs any more in a database that admits no work.
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
    /// A draining traffic thread has no callers and nothing to send.
    TrafficIdle {
        /// Index of the thread.
        thread: u8,
    },
    /// A thread ended that should not have.
    ThreadEnded {
        /// Name of the thread.
        thread: &'static str,
    },
    /// A request of an operator.
    Admin(AdminRequest),
}
