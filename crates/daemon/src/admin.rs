//! The metrics and admin port.

mod authorization;
mod burn;
mod reply;
mod request;
mod server;

pub use request::{AdminRequest, PromotionRefusal};
pub use server::{AdminParts, AdminServer, AdminStop};
