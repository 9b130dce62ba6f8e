//! The error budget report that each proxy serves to operators.
//!
//! Every accepted request is a good or a bad event. A reply within the rank's target latency is
//! good; a later reply or an unknown outcome is bad. Refused requests were not accepted, and
//! requests that were rolled back count neither way; both have counters of their own.

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
