//! Messages that traffic threads of proxies exchange over TCP.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::Outcome;
use crate::{DatabaseId, Position, RankIndex, RequestKey, StatementKind, TransactionKey};

/// A request that the entry proxy forwards to the owner of its database.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExecuteRequest {
    /// Key of the request at the entry proxy; the response repeats it.
    pub request: RequestKey,
    /// Traffic thread of the entry proxy that receives the response.
    pub entry_thread: u8,
    /// Database that the request is for.
    pub database: DatabaseId,
    /// Kind of the statement.
    pub kind: StatementKind,
    /// Rank of the request in its service.
    pub rank: RankIndex,
    /// Time left until the request's deadline.
    pub remaining_us: u64,
    /// Maximum age of the data that a read may return; 0 requires current data.
    pub max_staleness_us: u64,
    /// Position that a read must include; `None` until the session's first confirmed response.
    pub min_position: Option<Position>,
    /// The open transaction that the request belongs to, if any.
    pub transaction: Option<TransactionKey>,
    /// The request in the front end's encoding.
    pub payload: Bytes,
}

/// A message from one traffic thread to another, on the same or another proxy.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TrafficMessage {
    /// Asks the owner to execute a request.
    Execute(ExecuteRequest),
    /// Reports the outcome of a request to the entry proxy.
    Outcome {
        /// Database that the request was for.
        database: DatabaseId,
        /// Traffic thread of the entry proxy that sent the request.
        entry_thread: u8,
        /// Key of the request at the entry proxy.
        request: RequestKey,
        /// Outcome of the request.
        outcome: Outcome,
    },
    /// Asks the owner to cancel a request that the caller has abandoned or asked to cancel.
    Cancel {
        /// Database that the request is for.
        database: DatabaseId,
        /// Traffic thread of the entry proxy.
        entry_thread: u8,
        /// Key of the request at the entry proxy.
        request: RequestKey,
    },
    /// Asks the owner to roll back an open transaction that cannot continue, for example because
    /// its caller disconnected.
    EndTransaction {
        /// Database of the transaction.
        database: DatabaseId,
        /// The transaction.
        transaction: TransactionKey,
    },
}
