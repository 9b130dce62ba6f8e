//! Calls to database instances.

use core::net::SocketAddr;

use crate::Term;

/// A call to a database instance over its monitor connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InstanceOperation {
    /// Reports the status only.
    Status,
    /// Accepts a term, so that lower terms are refused from now on.
    AcceptTerm(Term),
    /// Becomes primary.
    Promote(Term),
    /// Replicates from a primary.
    Follow {
        /// Term of the primary.
        term: Term,
        /// Address of the primary.
        primary: SocketAddr,
    },
}
