//! Sockets, buffers and deadlines, as all I/O threads use them.

mod accept;
mod connect_state;
mod deadlines;
mod options;
mod socket_key;
mod stream;
mod write_buffer;

pub use accept::{ACCEPT_RETRY_US, accept_all};
pub use connect_state::is_connected;
pub use deadlines::Deadlines;
pub use options::{
    CALLER_TCP_TIMEOUT, PEER_TCP_TIMEOUT, bind_udp, connect, listen, set_stream_options,
};
pub use socket_key::{
    BackendSocketKey, CallerSocketKey, CancelSocketKey, IncomingHttpKey, IncomingLinkKey,
    MonitorSocketKey, OutgoingHttpKey, OutgoingLinkKey, SocketKey, SocketTable,
};
pub use stream::{READ_BUDGET_BYTES, ReadOutcome, Scratch, Stream};
pub use write_buffer::WriteBuffer;
