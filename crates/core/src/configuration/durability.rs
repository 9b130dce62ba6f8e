//! Durability rules.

use derive_more::Display;

/// What must hold before a write is acknowledged.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq)]
pub enum Durability {
    /// A majority of instances has the write. Nothing acknowledged is missing after a promotion.
    #[default]
    #[display("replica")]
    Replica,
    /// The primary has the write and a majority still accepts its term. A write can be lost when the
    /// primary is lost before it is replicated.
    #[display("primary")]
    Primary,
}
