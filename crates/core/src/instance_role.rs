//! Roles of database instances.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Role that a database instance reports for itself. A superseded primary that is cut off from its
/// group still reports `Primary`; only the accepted term tells the difference.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum InstanceRole {
    /// Takes writes.
    #[display("primary")]
    Primary,
    /// Replicates from a primary and serves reads.
    #[display("replica")]
    Replica,
}
