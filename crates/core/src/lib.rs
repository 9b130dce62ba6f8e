//! The decision logic of flamingorock, free of I/O.
//!
//! The crate provides two state machines, [`traffic::Traffic`] and [`control::Control`]. Each keeps
//! its entities in tables addressed by small `Copy` keys and runs its systems over them on every
//! tick; the current time is an argument. Nothing here opens a socket, reads a clock or starts a
//! thread, so tests run the same code on virtual time and other front ends can reuse it.
//!
//! All times are in microseconds on a monotonic clock local to the process.

#[macro_use]
mod arena_key;

pub mod arena;
pub mod burn;
pub mod configuration;
pub mod control;
mod database_id;
mod host_id;
mod instance_id;
mod instance_report;
mod instance_role;
mod lsn;
pub mod message;
mod position;
mod rank_index;
mod result_class;
mod result_code;
mod statement_kind;
mod term;
pub mod traffic;
mod transaction_status;
mod view;

pub use arena_key::ArenaKey;
pub use database_id::DatabaseId;
pub use host_id::HostId;
pub use instance_id::InstanceId;
pub use instance_report::InstanceReport;
pub use instance_role::InstanceRole;
pub use lsn::Lsn;
pub use position::Position;
pub use rank_index::RankIndex;
pub use result_class::ResultClass;
pub use result_code::ResultCode;
pub use statement_kind::StatementKind;
pub use term::Term;
pub use transaction_status::TransactionStatus;
pub use view::{OwnerRoute, ServedDatabase, View};

arena_key!(
    /// Identifies a connected caller on a traffic thread of its entry proxy.
    CallerKey,
    "caller"
);
arena_key!(
    /// Identifies a caller's request on a traffic thread of the entry proxy.
    RequestKey,
    "request"
);
arena_key!(
    /// Identifies a request on the traffic thread of the owner that executes it.
    WorkItemKey,
    "work"
);
arena_key!(
    /// Identifies a connection to a backend server on the owner's traffic thread.
    ConnectionKey,
    "connection"
);
arena_key!(
    /// Identifies an open transaction on the owner's traffic thread.
    TransactionKey,
    "transaction"
);
arena_key!(
    /// Identifies an outstanding call of the control thread to a database instance.
    InstanceCallKey,
    "group-call"
);
arena_key!(
    /// Identifies an outstanding call of the control thread to the key-value service.
    StoreCallKey,
    "store-call"
);
