//! Admin ports of proxies.

mod admin_client;
mod admin_error;
mod answers;
mod missing_proxy;

pub(crate) use admin_client::AdminClient;
pub(crate) use admin_error::AdminError;
pub(crate) use answers::Answers;
pub use missing_proxy::MissingProxy;
