//! Identity of databases.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Identity of a database, derived from its name so that every proxy and every configuration version
/// agrees on it. A configuration in which two names give the same value is refused.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{_0:08x}")]
pub struct DatabaseId(u32);

impl DatabaseId {
    /// Derives the identity from a database name (32-bit FNV-1a).
    #[must_use]
    pub fn from_name(name: &str) -> Self {
        const OFFSET_BASIS: u32 = 0x811c_9dc5;
        const PRIME: u32 = 0x0100_0193;
        Self(
            name.bytes()
                .fold(OFFSET_BASIS, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(PRIME)),
        )
    }

    /// The identity as a number, for hashing and for spreading databases over threads.
    #[must_use]
    pub fn as_u32(self) -> u32 {
        self.0
    }
}
