//! Commands on service files and the store that change nothing.

mod check;
mod get;
mod history;
mod plan;

pub use check::{CheckReport, check};
pub use get::get;
pub(crate) use history::walk;
pub use history::{HistoryLine, HistoryReport, history};
pub use plan::{PlanReport, plan};
