//! Reports of one service.

use serde::{Deserialize, Serialize};

use super::RankBurn;

/// Report of one service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceBurn {
    /// Name of the service.
    pub service: String,
    /// Ranks, the most urgent first.
    pub ranks: Vec<RankBurn>,
}
