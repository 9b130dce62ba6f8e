//! Database identifiers.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Identifier of a database. It is a hash of the name, so it is the same on every proxy and in
/// every configuration version. A configuration in which two names collide is rejected.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{_0:08x}")]
pub struct DatabaseId(u32);

impl DatabaseId {
    /// Computes the identifier as the 32-bit FNV-1a hash of a database name.
    #[must_use]
    pub fn from_name(name: &str) -> Self {
        const OFFSET_BASIS: u32 = 0x811c_9dc5;
        const PRIME: u32 = 0x0100_0193;
        Self(
            name.bytes()
                .fold(OFFSET_BASIS, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(PRIME)),
        )
    }

    /// The identifier as a number, for hashing and for distributing databases over threads.
    #[must_use]
    pub fn as_u32(self) -> u32 {
        self.0
    }
}
