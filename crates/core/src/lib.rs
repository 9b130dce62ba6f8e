//! Decision core of flamingorock.
//!
//! The crate holds two state machines, [`traffic::Traffic`] and [`control::Control`]. Each keeps its
//! entities in tables addressed by small `Copy` keys and runs its systems over them once a tick,
//! with the present time as an argument. Nothing here opens a socket, reads a clock or starts a
//! thread, so that a test drives the same code on virtual time and another front end can link it.
//!
//! All times are microseconds of a monotonic clock that is local to the process.

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
    /// Addresses a caller in the table of its entry proxy's traffic thread.
    CallerKey,
    "caller"
);
arena_key!(
    /// Addresses a request in the table of the entry proxy's traffic thread.
    RequestKey,
    "request"
);
arena_key!(
    /// Addresses a request in the table of the owning proxy's traffic thread.
    WorkItemKey,
    "work"
);
arena_key!(
    /// Addresses a connection to a backend server in the table of the owning proxy's traffic thread.
    ConnectionKey,
    "connection"
);
arena_key!(
    /// Addresses an open transaction in the table of the owning proxy's traffic thread.
    TransactionKey,
    "transaction"
);
arena_key!(
    /// Addresses an outstanding call to a database instance in the table of the control thread.
    InstanceCallKey,
    "group-call"
);
arena_key!(
    /// Addresses an outstanding call to the key-value service in the table of the control thread.
    StoreCallKey,
    "store-call"
);
