//! Durability levels of acknowledged writes.

use derive_more::Display;

/// The condition under which a write is acknowledged to the caller.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq)]
pub enum Durability {
    /// A majority of instances has the write, so no acknowledged write is lost by a promotion.
    #[default]
    #[display("replica")]
    Replica,
    /// The primary has the write and a majority still accepts its term. An acknowledged write is
    /// lost if the primary fails before the write is replicated.
    #[display("primary")]
    Primary,
}
