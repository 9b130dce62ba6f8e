//! HTTP responses from Consul.

/// An HTTP response with its complete body.
#[derive(Debug)]
pub(super) struct ConsulResponse {
    /// HTTP status: 200, or 404 if the key does not exist.
    pub(super) status: u16,
    /// Value of the `X-Consul-Index` header; 0 if it is missing or not a number.
    pub(super) consul_index: u64,
    /// Undecoded body.
    pub(super) body: Vec<u8>,
}
