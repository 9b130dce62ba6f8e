//! Answers of several proxies.

use core::net::SocketAddr;

use super::MissingProxy;

/// What several proxies answered to the same call, in the order of the arguments.
#[derive(Debug)]
pub(crate) struct Answers<T> {
    /// Proxies that answered.
    pub(crate) answers: Vec<(SocketAddr, T)>,
    /// Proxies that did not.
    pub(crate) missing: Vec<MissingProxy>,
}
