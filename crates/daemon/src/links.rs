//! TCP connections between proxies, called links. A link carries messages in one direction only:
//! each thread opens its own link to each host to which it sends.

mod incoming_links;
mod link_loss;
mod outgoing_links;

pub use incoming_links::{IncomingLinks, LinkEnd};
pub use link_loss::LinkLoss;
pub use outgoing_links::{NotSent, OutgoingLinks};
