//! The metrics and admin port.

mod authorization;
mod burn;
mod reply;
mod request;
mod server;

pub use request::AdminRequest;
pub use server::{AdminParts, AdminServer};
