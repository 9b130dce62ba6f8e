//! Reports of one proxy.

use serde::{Deserialize, Serialize};

use super::ServiceBurn;
use crate::HostId;

/// Report of one proxy: the requests that its callers sent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BurnReport {
    /// The host.
    pub host: HostId,
    /// Differs for each start of the process; the counts start from zero with it.
    pub incarnation: u64,
    /// Time since the process started.
    pub uptime_s: u64,
    /// Services in the order of the configuration.
    pub services: Vec<ServiceBurn>,
}
