//! Outputs of the traffic machine.

use bytes::Bytes;

use crate::message::TrafficMessage;
use crate::{
    CallerKey, ConnectionKey, DatabaseId, HostId, InstanceId, RequestKey, ResultCode,
    TransactionStatus, WorkItemKey,
};

/// Something that the I/O layer is to do. Actions are carried out in order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Deliver the answer of a backend server to the caller.
    Deliver {
        /// The caller.
        caller: CallerKey,
        /// The whole answer in the encoding of the front end.
        answer: Bytes,
        /// Transaction status after the answer.
        status: TransactionStatus,
    },
    /// Tell the caller that its request was not answered by a backend server. The caller stays
    /// connected; if it had a transaction open, `status` says what has become of it.
    Refuse {
        /// The caller.
        caller: CallerKey,
        /// Reason.
        code: ResultCode,
        /// Transaction status of the caller's session from now on.
        status: TransactionStatus,
    },
    /// Tell the caller the reason and close its connection, and report it as closed. Requests that arrive
    /// before that may still be passed on; the action is then repeated after the answer.
    CloseCaller {
        /// The caller.
        caller: CallerKey,
        /// Reason.
        code: ResultCode,
    },
    /// Send a message to another proxy, or to another traffic thread if the host is this one.
    Send {
        /// Receiver.
        host: HostId,
        /// The request whose loss is to be reported by `SendFailed`, if it is one.
        request: Option<RequestKey>,
        /// The message.
        message: TrafficMessage,
    },
    /// Open a connection to a backend server.
    OpenConnection {
        /// Key of the new connection.
        connection: ConnectionKey,
        /// The instance.
        instance: InstanceId,
    },
    /// Run a request on a connection.
    Execute {
        /// The connection; it is idle or holds the transaction of the request.
        connection: ConnectionKey,
        /// The request; comes back with the answer.
        work: WorkItemKey,
        /// The request in the encoding of the front end.
        payload: Bytes,
        /// Greatest size of the answer.
        max_answer_bytes: u32,
    },
    /// Roll back any open transaction and clear the session state of a connection.
    ResetConnection {
        /// The connection.
        connection: ConnectionKey,
    },
    /// Ask the backend server to cancel what runs on a connection.
    CancelConnection {
        /// The connection.
        connection: ConnectionKey,
    },
    /// Close a connection. Nothing more is reported for it.
    CloseConnection {
        /// The connection.
        connection: ConnectionKey,
    },
    /// Ask an instance for its status over the monitor connection.
    Probe {
        /// The instance.
        instance: InstanceId,
        /// Number of the probe; comes back with the report.
        probe_number: u64,
        /// When the probe is reported as timed out.
        deadline_us: u64,
    },
    /// Tell the control thread that nothing runs any more in a database that admits no work.
    ReportQuiescent {
        /// The database.
        database: DatabaseId,
        /// Epoch of the ownership that ended.
        epoch: u32,
    },
    /// Tell the control thread that another owner was named as the newer one, or that an instance
    /// reported a higher term, so that it looks into it at once.
    ReportSuperseded {
        /// The database.
        database: DatabaseId,
        /// Epoch seen.
        epoch: u32,
    },
}
