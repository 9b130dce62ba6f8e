//! Actions that the traffic machine requests from the I/O layer.

use bytes::Bytes;

use crate::message::TrafficMessage;
use crate::{
    CallerKey, ConnectionKey, DatabaseId, HostId, InstanceId, RequestKey, ResultCode,
    TransactionStatus, WorkItemKey,
};

/// An operation for the I/O layer to perform. Actions are performed in order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Deliver the response of a backend server to a caller.
    Deliver {
        /// The caller.
        caller: CallerKey,
        /// The complete response in the front end's encoding.
        response: Bytes,
        /// Transaction status after the response.
        status: TransactionStatus,
    },
    /// Report to a caller that its request was not answered by a backend server. The caller stays
    /// connected; if it had an open transaction, `status` says whether the transaction has failed.
    Refuse {
        /// The caller.
        caller: CallerKey,
        /// Reason.
        code: ResultCode,
        /// Transaction status of the caller's session after the refusal.
        status: TransactionStatus,
    },
    /// Send a caller the reason, close its connection and report it with `CallerClosed`. Requests
    /// that arrive before the connection is closed may still be forwarded; this action is then
    /// repeated after the response.
    CloseCaller {
        /// The caller.
        caller: CallerKey,
        /// Reason.
        code: ResultCode,
    },
    /// Send a message to another proxy, or to another traffic thread if `host` is this host.
    Send {
        /// Host that receives the message.
        host: HostId,
        /// The request to report with `SendFailed` if the message cannot be sent; `None` if the
        /// message is not a request.
        request: Option<RequestKey>,
        /// The message.
        message: TrafficMessage,
    },
    /// Open a connection to a backend server.
    OpenConnection {
        /// Key of the new connection.
        connection: ConnectionKey,
        /// Instance to connect to.
        instance: InstanceId,
    },
    /// Execute a request on a connection.
    Execute {
        /// Connection to use; it is idle or holds the request's transaction.
        connection: ConnectionKey,
        /// Key of the request; `BackendAnswered` repeats it.
        work: WorkItemKey,
        /// The request in the front end's encoding.
        payload: Bytes,
        /// Maximum size of the response in bytes.
        max_answer_bytes: u32,
    },
    /// Roll back any open transaction on a connection and clear its session state.
    ResetConnection {
        /// The connection.
        connection: ConnectionKey,
    },
    /// Ask the backend server to cancel the statement that runs on a connection.
    CancelConnection {
        /// The connection.
        connection: ConnectionKey,
    },
    /// Close a connection. No further events are reported for it.
    CloseConnection {
        /// The connection.
        connection: ConnectionKey,
    },
    /// Request the status of an instance over the monitor connection.
    Probe {
        /// The instance.
        instance: InstanceId,
        /// Number of the probe; `Probed` repeats it.
        probe_number: u64,
        /// Time at which the probe is reported as timed out.
        deadline_us: u64,
    },
    /// Report to the control thread that a database that admits no requests has become quiescent.
    ReportQuiescent {
        /// The database.
        database: DatabaseId,
        /// Epoch of the ownership that is ending.
        epoch: u32,
    },
    /// Report to the control thread that an instance has accepted a term of a later epoch, which
    /// means that there may be a newer owner, so that it checks the ownership immediately.
    ReportSuperseded {
        /// The database.
        database: DatabaseId,
        /// The later epoch.
        epoch: u32,
    },
}
