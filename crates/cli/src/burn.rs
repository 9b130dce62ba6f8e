//! Reports on the error budgets of the whole fleet.

mod burn_rate;
mod burn_summary;
mod chart;
mod merge;
mod rank_summary;
mod service_summary;

pub use burn_rate::BurnRate;
pub use burn_summary::BurnSummary;
pub use chart::burn_svg;
pub use rank_summary::RankSummary;
pub use service_summary::ServiceSummary;
