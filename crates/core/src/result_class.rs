//! Classes of results.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// What a result code says about the effect of a request.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
pub enum ResultClass {
    /// The request ran and its answer is delivered.
    #[display("done")]
    Done,
    /// The request did not run. It can be sent again safely.
    #[display("not run")]
    NotRun,
    /// The request or its transaction was rolled back.
    #[display("rolled back")]
    RolledBack,
    /// The request may or may not have taken effect.
    #[display("outcome unknown")]
    OutcomeUnknown,
}
