//! The protocol towards backend servers.

mod answer;
mod backend_codec;
mod backend_error;

pub(crate) use answer::error_fields;
pub use backend_codec::{BackendCodec, BackendEvent};
pub use backend_error::BackendError;
