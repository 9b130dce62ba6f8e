//! HTTP answers.

/// An HTTP answer that was read whole.
#[derive(Debug)]
pub(super) struct Answer {
    /// HTTP status: 200, or 404 for a key that does not exist.
    pub(super) status: u16,
    /// Value of `X-Consul-Index`, 0 if there is none.
    pub(super) consul_index: u64,
    /// Body.
    pub(super) body: Vec<u8>,
}
