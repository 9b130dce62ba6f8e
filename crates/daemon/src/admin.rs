//! HTTP server of the port for metrics and administration.

mod authorization;
mod burn;
mod reply;
mod request;
mod server;

pub use request::{AdminRequest, PromotionRefusal};
pub use server::{AdminParts, AdminServer, AdminStopHandle};
