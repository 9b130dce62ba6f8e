//! Decision core of the pooled mode, in which every proxy holds connections to every instance.
//!
//! The crate holds two state machines. [`traffic::Traffic`] serves sessions: it queues, refuses and
//! places their statements. [`control::Control`] finds the other proxies and the instances in the
//! platform's store, watches primaries and replaces them. Each keeps its entities in tables
//! addressed by small `Copy` keys and runs its systems over them once a tick, with the present time
//! as an argument. Nothing here opens a socket, reads a clock or starts a thread.
//!
//! All times are microseconds of a clock that is local to the host and counts suspension, because
//! permissions must expire while a process is suspended.

mod configuration;
pub mod control;
mod error_code;
mod instance_call;
mod instance_entry;
mod instance_status;
mod permit;
mod read_policy;
mod rendezvous;
pub mod traffic;
mod view;

pub use configuration::{Configuration, DatabaseConfig, ReplicaSetConfig};
pub use error_code::ErrorCode;
pub use instance_call::{InstanceCall, InstanceCallOutcome, InstanceCallResult, InstanceCommand};
pub use instance_entry::InstanceEntry;
pub use instance_status::{InstanceStatus, ReplicationRole};
pub use permit::Permit;
pub use read_policy::ReadPolicy;
pub use view::{InstanceView, PoolView, PrimaryView, ReplicaSetView};

flamingorock_core::arena_key!(
    /// Addresses a session in the table of the traffic thread.
    SessionKey,
    "session"
);
flamingorock_core::arena_key!(
    /// Addresses a connection to an instance in the table of the traffic thread.
    ConnectionKey,
    "connection"
);
flamingorock_core::arena_key!(
    /// Addresses an instance in the table of the traffic thread.
    InstanceKey,
    "instance"
);
flamingorock_core::arena_key!(
    /// Addresses a replica set in the table of the traffic thread.
    ReplicaSetKey,
    "replica-set"
);
