//! Serves callers' sessions and routes their statements to database instances.
//!
//! [`Traffic`] is a state machine without I/O. It keeps sessions, connections, instances and
//! replica sets in tables. The I/O layer queues [`Event`]s, calls [`Traffic::tick`], which runs
//! every system once in a fixed order, and carries out the resulting [`Action`]s.

mod action;
mod congestion;
mod connection;
mod database;
mod event;
mod instance;
mod machine;
mod metric_event;
mod position_history;
mod prepared;
mod refusal_rate;
mod replica_set;
mod replica_state;
mod report;
mod request;
mod response;
mod session;
mod statement;
mod systems;
mod tables;
mod timer_queue;
mod traffic_config;

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
