//! The report on service-level burn, as the proxies report it to operators.
//!
//! Good and bad events are counted per accepted request. An answer within the rank's target latency
//! is good; a late one and an unknown outcome are bad. Refused requests were not accepted, and a
//! request that the database itself rolled back is neither; both are counted apart.

mod burn_report;
mod latency_summary;
mod outcome_counts;
mod rank_burn;
mod service_burn;
mod window_burn;

pub use burn_report::BurnReport;
pub use latency_summary::LatencySummary;
pub use outcome_counts::OutcomeCounts;
pub use rank_burn::RankBurn;
pub use service_burn::ServiceBurn;
pub use window_burn::WindowBurn;
