//! Parameters of the traffic state machine.

use crate::Permit;
use bytes::Bytes;

/// Parameters of the traffic state machine, fixed for the life of the process.
#[derive(Clone, Debug)]
pub struct TrafficConfig {
    /// Name of this proxy. Its rendezvous hash decides which scarce connections the proxy keeps
    /// open.
    pub name: Bytes,
    /// Data centre of this host. Replicas in the same data centre are preferred.
    pub data_centre: Bytes,
    /// Permission to use primaries, extended by the control thread.
    pub permit: Permit,
}
