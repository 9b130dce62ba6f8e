//! Events that the I/O layer reports to the traffic machine.

use std::sync::Arc;

use bytes::Bytes;

use super::{CallerRequest, ProbeFailure};
use crate::message::TrafficMessage;
use crate::{
    CallerKey, ConnectionKey, HostId, InstanceId, InstanceReport, RequestKey, TransactionStatus,
    View, WorkItemKey,
};

/// An input of the traffic machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// The control thread published a new view. Before a view that starts draining, the I/O layer
    /// reports all requests that have already arrived on its sockets; otherwise they would be
    /// refused.
    ViewChanged(Arc<View>),
    /// A caller sent a request. A caller has at most one request in flight.
    RequestReceived {
        /// The caller.
        caller: CallerKey,
        /// The request.
        request: CallerRequest,
    },
    /// A caller asked, over a separate connection, to cancel its request in flight.
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
    /// A request could not be sent, and the receiver has not received any part of it.
    SendFailed {
        /// Host that cannot be reached.
        host: HostId,
        /// The request that was not sent.
        request: RequestKey,
    },
    /// The link to a host broke. Messages sent over it may or may not have arrived.
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
        /// Cause of the loss.
        reason: ConnectionLoss,
    },
    /// A connection was reset and has no session state.
    ConnectionReset {
        /// The connection.
        connection: ConnectionKey,
    },
    /// A backend server responded to a request completely.
    BackendResponded {
        /// The connection.
        connection: ConnectionKey,
        /// The request that the response belongs to.
        work: WorkItemKey,
        /// The complete response in the front end's encoding.
        response: Bytes,
        /// Transaction status after the response.
        status: TransactionStatus,
        /// Whether the response reports an error.
        failed: bool,
    },
    /// A probe of an instance succeeded or failed.
    Probed {
        /// The instance.
        instance: InstanceId,
        /// Number of the probe.
        probe_number: u64,
        /// Reported status, or why there is none.
        result: Result<InstanceReport, ProbeFailure>,
    },
}

/// Why a connection to a backend server was lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionLoss {
    /// The connection was refused or not established in time, so nothing was sent over it.
    ConnectFailed,
    /// The established connection broke.
    Broken,
    /// The response was larger than the limit, so the connection was closed.
    AnswerTooLarge,
}
