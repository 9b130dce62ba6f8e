//! Outcomes of requests.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{Position, ResultCode, TransactionKey, TransactionStatus};

/// How a request ended at the owning proxy.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// The backend server answered. The answer may be an error of the database itself.
    Answered {
        /// The whole answer in the encoding of the front end.
        answer: Bytes,
        /// Transaction status after the answer.
        status: TransactionStatus,
        /// The transaction that is open afterwards, if one is.
        transaction: Option<TransactionKey>,
        /// Position that later reads of the session must include; `None` if it has not changed.
        min_position: Option<Position>,
        /// Whether a replica served the request.
        by_replica: bool,
    },
    /// The request was not answered by a backend server.
    Refused {
        /// Reason, which also tells whether the request can have taken effect.
        code: ResultCode,
    },
}
