//! The metrics and admin port.

mod authorization;
mod reply;
mod request;
mod server;

pub use request::AdminRequest;
pub use server::AdminServer;
