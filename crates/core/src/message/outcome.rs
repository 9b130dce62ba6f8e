//! Request outcomes.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{Position, ResultCode, TransactionKey, TransactionStatus};

/// How a request ended at the owner of its database.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// The backend server responded. The response may be a database error.
    Completed {
        /// The complete response in the front end's encoding.
        response: Bytes,
        /// Transaction status after the response.
        status: TransactionStatus,
        /// The open transaction of the session, if there is one after the response.
        transaction: Option<TransactionKey>,
        /// Position that later reads of the session must include; `None` if it is unchanged.
        min_position: Option<Position>,
        /// Whether a replica served the request.
        by_replica: bool,
    },
    /// The request ended without a response; it was refused, rolled back or has an unknown outcome.
    Refused {
        /// Reason; its class says whether the request may have taken effect.
        code: ResultCode,
    },
}
