//! Decision core of the pooled mode, in which every proxy keeps connections to every instance.
//!
//! The crate consists of two state machines. [`traffic::Traffic`] serves sessions: it queues,
//! rejects and routes their statements. [`control::Control`] discovers the other proxies and the
//! instances in the platform's store, monitors primaries and fails them over. Each keeps its
//! entities in tables addressed by small `Copy` keys and runs its systems over them once a tick,
//! with the current time as an argument. The crate opens no sockets, reads no clock and starts no
//! threads.
//!
//! All times are microseconds of a host-local clock that also advances while the process is
//! suspended, because permits must expire during a suspension.

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
    /// Key of a session in the traffic thread's table.
    SessionKey,
    "session"
);
flamingorock_core::arena_key!(
    /// Key of a connection to an instance in the traffic thread's table.
    ConnectionKey,
    "connection"
);
flamingorock_core::arena_key!(
    /// Key of an instance in the traffic thread's table.
    InstanceKey,
    "instance"
);
flamingorock_core::arena_key!(
    /// Key of a replica set in the traffic thread's table.
    ReplicaSetKey,
    "replica-set"
);
