//! HTTP server for metrics and administration.

mod authorization;
mod burn;
mod request;
mod response;
mod server;

pub use request::{AdminRequest, PromotionRefusal};
pub use server::{AdminParts, AdminServer, AdminStopHandle};
