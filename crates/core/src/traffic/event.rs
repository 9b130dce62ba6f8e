//! Inputs of the traffic machine.

use std::sync::Arc;

use bytes::Bytes;

use super::{CallerRequest, ProbeFailure};
use crate::message::TrafficMessage;
use crate::{
    CallerKey, ConnectionKey, HostId, InstanceId, InstanceReport, RequestKey, TransactionStatus,
    View, WorkItemKey,
};

/// Something that happened outside the traffic machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// The control thread published a new view. Before a draining view, the I/O layer hands over the
    /// requests that have already arrived in its sockets, or they would be refused.
    ViewChanged(Arc<View>),
    /// A caller sent a request. A caller has at most one request in flight.
    RequestReceived {
        /// The caller.
        caller: CallerKey,
        /// The request.
        request: CallerRequest,
    },
    /// A caller asked, over a connection of its own, to cancel what it is waiting for.
    CancelRequested {
        /// The caller whose request is to be cancelled.
        caller: CallerKey,
    },
    /// A caller's connection closed.
    CallerClosed {
        /// The caller.
        caller: CallerKey,
    },
    /// A message arrived from another proxy or from another traffic thread of this one.
    MessageReceived {
        /// Host that sent it.
        from: HostId,
        /// The message.
        message: TrafficMessage,
    },
    /// A request could not be sent; the receiver has certainly not seen any part of it.
    SendFailed {
        /// Host that cannot be reached.
        host: HostId,
        /// The request that was not sent.
        request: RequestKey,
    },
    /// The link to a host broke. What had been sent may or may not have arrived.
    LinkLost {
        /// The host.
        host: HostId,
    },
    /// A connection to a backend server is ready for use.
    ConnectionOpened {
        /// The connection.
        connection: ConnectionKey,
    },
    /// A connection to a backend server could not be opened or was lost.
    ConnectionLost {
        /// The connection.
        connection: ConnectionKey,
        /// Why.
        reason: ConnectionLoss,
    },
    /// A connection has been reset and carries no session state.
    ConnectionReset {
        /// The connection.
        connection: ConnectionKey,
    },
    /// A backend server answered a request in full.
    BackendAnswered {
        /// The connection.
        connection: ConnectionKey,
        /// The request that the answer belongs to.
        work: WorkItemKey,
        /// The whole answer in the encoding of the front end.
        answer: Bytes,
        /// Transaction status after the answer.
        status: TransactionStatus,
        /// Whether the answer reports an error.
        failed: bool,
    },
    /// An instance answered a probe, or did not.
    Probed {
        /// The instance.
        instance: InstanceId,
        /// Number of the probe.
        probe_number: u64,
        /// What it said.
        result: Result<InstanceReport, ProbeFailure>,
    },
}

/// Why a connection to a backend server was lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionLoss {
    /// The connection was refused or not established in time; nothing was ever sent over it.
    ConnectFailed,
    /// The connection broke after it had been established.
    Broken,
    /// The answer was larger than the limit, so the connection was closed.
    AnswerTooLarge,
}
