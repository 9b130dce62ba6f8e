//! The error budget report of one service.

use serde::{Deserialize, Serialize};

use super::RankBurn;

/// Error budget report of one service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceBurn {
    /// Name of the service, unique in the configuration.
    pub service: String,
    /// One entry per rank, most urgent first.
    pub ranks: Vec<RankBurn>,
}
