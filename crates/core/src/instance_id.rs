//! Instance identifiers.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::DatabaseId;

/// Identifier of one instance of a database.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{database}/{index}")]
pub struct InstanceId {
    /// The database that the instance belongs to.
    pub database: DatabaseId,
    /// Position in the database's list of instances.
    pub index: u8,
}
