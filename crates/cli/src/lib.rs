//! The operators' command line of flamingorock, as a library for its tests.
//!
//! Each command is a function that returns a report or a [`Failure`]. A report has a text form and a
//! JSON form. The commands on the configuration work on any
//! [`KeyValueStore`](flamingorock_platform::KeyValueStore); the others talk to the admin ports of
//! proxies.

mod admin;
mod apply;
pub mod arguments;
mod burn;
mod change;
mod exit_status;
mod explain;
mod failure;
mod printer;
mod proxy_commands;
mod run;
mod store_client;
mod store_commands;
mod table;
mod winner;

pub use admin::MissingProxy;
pub use apply::{ApplyReport, ApplyRequest, apply};
pub use arguments::Arguments;
pub use burn::{BurnRate, BurnSummary, RankSummary, ServiceSummary, burn_svg};
pub use change::{Change, ChangeKind, KeyChange, compare};
pub use exit_status::ExitStatus;
pub use explain::{ExplainedLine, Explanation, LogFile, explain};
pub use failure::Failure;
pub use run::run;
pub use store_client::StoreClient;
pub use store_commands::{
    CheckReport, HistoryLine, HistoryReport, PlanReport, check, get, history, plan,
};
pub use winner::Winner;
