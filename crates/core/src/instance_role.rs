//! Replication roles of database instances.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Replication role that a database instance reports for itself. A superseded primary that is
/// partitioned from its group still reports `Primary`; only its accepted term shows the difference.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum InstanceRole {
    /// Accepts writes.
    #[display("primary")]
    Primary,
    /// Replicates from a primary and serves reads.
    #[display("replica")]
    Replica,
}
