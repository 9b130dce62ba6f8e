//! What is known of a caller when it connects.

use crate::DatabaseId;

/// What is known of a caller when it connects.
#[derive(Clone, Copy, Debug)]
pub struct SessionParameters {
    /// Database that the caller works with.
    pub database: DatabaseId,
}
