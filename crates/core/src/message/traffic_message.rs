//! Messages between traffic threads of proxies, over TCP.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::Outcome;
use crate::{DatabaseId, Position, RankIndex, RequestKey, StatementKind, TransactionKey};

/// A request on its way to the owner of its database.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExecuteRequest {
    /// Key of the request at the entry proxy; comes back with the answer.
    pub request: RequestKey,
    /// Traffic thread of the entry proxy that waits for the answer.
    pub entry_thread: u8,
    /// Database that the request is for.
    pub database: DatabaseId,
    /// What the request may do.
    pub kind: StatementKind,
    /// Rank of the request in its service.
    pub rank: RankIndex,
    /// Time left until the request is given up.
    pub remaining_us: u64,
    /// Age of data that a read may see; 0 for a read of the newest data.
    pub max_staleness_us: u64,
    /// Position that a read must include; `None` for a session of unknown history.
    pub min_position: Option<Position>,
    /// The open transaction that the request belongs to.
    pub transaction: Option<TransactionKey>,
    /// The request in the encoding of the front end.
    pub payload: Bytes,
}

/// A message between traffic threads of proxies.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TrafficMessage {
    /// Asks the owner to run a request.
    Execute(ExecuteRequest),
    /// Tells the entry proxy how a request ended.
    Answer {
        /// Database that the request was for.
        database: DatabaseId,
        /// Traffic thread of the entry proxy.
        entry_thread: u8,
        /// Key of the request at the entry proxy.
        request: RequestKey,
        /// How it ended.
        outcome: Outcome,
    },
    /// Asks the owner to cancel a request that the caller no longer waits for or asked to cancel.
    Cancel {
        /// Database that the request is for.
        database: DatabaseId,
        /// Traffic thread of the entry proxy.
        entry_thread: u8,
        /// Key of the request at the entry proxy.
        request: RequestKey,
    },
    /// Tells the owner that a caller has gone and its open transaction is to be rolled back.
    EndTransaction {
        /// Database of the transaction.
        database: DatabaseId,
        /// The transaction.
        transaction: TransactionKey,
    },
}
