//! Calls to database instances.

use core::net::SocketAddr;

use crate::Term;

/// A call to a database instance over its monitor connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InstanceOperation {
    /// Reports the instance's status and changes nothing.
    Status,
    /// Fences the instance: it accepts the term and from then on refuses every lower one.
    AcceptTerm(Term),
    /// Makes the instance primary under the term.
    Promote(Term),
    /// Makes the instance a replica of the given primary.
    Follow {
        /// Term under which the primary was promoted.
        term: Term,
        /// Address at which the replica connects to the primary.
        primary: SocketAddr,
    },
}
