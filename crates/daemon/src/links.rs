//! TCP connections between proxies, called links. A link carries messages in one direction only:
//! each thread opens a link of its own to each host that it sends to.

mod incoming_links;
mod lost_link;
mod outgoing_links;

pub use incoming_links::{ClosedLink, IncomingLinks};
pub use lost_link::LostLink;
pub use outgoing_links::{OutgoingLinks, SendError};
