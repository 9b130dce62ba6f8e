//! Sessions of callers and their statements.
//!
//! [`Traffic`] keeps sessions, connections, instances and replica sets in tables. Events are queued,
//! a tick runs every system once in a fixed order, and the actions that it leaves are carried out by
//! the caller.

mod action;
mod congestion;
mod connection;
mod database;
mod due_queue;
mod event;
mod instance;
mod machine;
mod metric_event;
mod position_history;
mod prepared;
mod replica_set;
mod replica_state;
mod report;
mod request;
mod response;
mod session;
mod statement;
mod systems;
mod tables;
mod traffic_config;
mod turned_away;

pub use action::{Action, Command, Decision, DecisionKind, Reply, ReplyOutcome};
pub use event::Event;
pub use machine::Traffic;
pub use metric_event::MetricEvent;
pub use prepared::PreparedId;
pub use replica_state::ReplicaState;
pub use report::Report;
pub use response::{Response, ResponseOutcome};
pub use statement::{AccessMode, Query, Statement};
pub use traffic_config::TrafficConfig;
