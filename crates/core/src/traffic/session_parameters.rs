//! Parameters of a session.

use crate::DatabaseId;

/// Parameters that a caller provides when it connects.
#[derive(Clone, Copy, Debug)]
pub struct SessionParameters {
    /// Database that the caller connects to, for the lifetime of the session.
    pub database: DatabaseId,
}
