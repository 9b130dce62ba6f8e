//! Framing of protocol messages and reading of message bodies.
//!
//! Bodies received from outside are read with [`Reader`] over borrowed bytes instead of the
//! decoders of `pgwire`: those copy each field into a `String`, replace bytes that are not UTF-8,
//! and panic on a truncated body. `pgwire` encodes everything that is not on the path of a payload.

mod encode;
mod header;
mod reader;

pub(crate) use encode::{append, encode, query, ready_for_query, release_if_empty, status_of};
pub(crate) use header::{HEADER_BYTES, Header};
pub(crate) use reader::Reader;
