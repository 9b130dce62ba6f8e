//! Result classes.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Whether a request took effect, as far as its result code tells.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
pub enum ResultClass {
    /// The request ran and its reply was delivered.
    #[display("done")]
    Done,
    /// The request did not run and can safely be sent again.
    #[display("not run")]
    NotRun,
    /// The request or its transaction was rolled back.
    #[display("rolled back")]
    RolledBack,
    /// The request may or may not have taken effect.
    #[display("outcome unknown")]
    OutcomeUnknown,
}
