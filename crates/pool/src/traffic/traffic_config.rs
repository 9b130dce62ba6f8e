//! Parameters of the traffic machine.

use crate::Permit;
use bytes::Bytes;

/// Parameters of the traffic machine.
#[derive(Clone, Debug)]
pub struct TrafficConfig {
    /// Name of the proxy.
    pub name: Bytes,
    /// Data centre of the host.
    pub data_centre: Bytes,
    /// Permission to serve from primaries.
    pub permit: Permit,
}
