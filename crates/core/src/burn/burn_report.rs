//! The error budget report of one proxy.

use serde::{Deserialize, Serialize};

use super::ServiceBurn;
use crate::HostId;

/// Error budget report of one proxy. It covers the requests of the callers connected to it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BurnReport {
    /// Host that the proxy runs on.
    pub host: HostId,
    /// Identifies this run of the process. Each run starts its counts from zero.
    pub incarnation: u64,
    /// Time since the process started.
    pub uptime_s: u64,
    /// One entry per service, in configuration order.
    pub services: Vec<ServiceBurn>,
}
