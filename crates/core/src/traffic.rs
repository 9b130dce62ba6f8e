//! The traffic machine: callers, sessions, requests, connections and transactions.

mod action;
mod caller_profile;
mod caller_request;
mod event;
mod machine;
mod probe_failure;
mod traffic_config;

pub use action::Action;
pub use caller_profile::CallerProfile;
pub use caller_request::CallerRequest;
pub use event::{ConnectionLoss, Event};
pub use machine::Traffic;
pub use probe_failure::ProbeFailure;
pub use traffic_config::TrafficConfig;
