//! Request outcomes.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{Position, ResultCode, TransactionKey, TransactionStatus};

/// How a request ended at the owner of its database.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// The backend server answered. The answer may be a database error.
    Answered {
        /// The complete answer in the front end's encoding.
        answer: Bytes,
        /// Transaction status after the answer.
        status: TransactionStatus,
        /// The open transaction of the session, if there is one after the answer.
        transaction: Option<TransactionKey>,
        /// Position that later reads of the session must include; `None` if it is unchanged.
        min_position: Option<Position>,
        /// Whether a replica served the request.
        by_replica: bool,
    },
    /// No backend server answered the request.
    Refused {
        /// Reason; its class says whether the request may have taken effect.
        code: ResultCode,
    },
}
