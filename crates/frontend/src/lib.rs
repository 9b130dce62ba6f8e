//! PostgreSQL wire protocol towards callers and backend servers.
//!
//! [`CallerCodec`] and [`BackendCodec`] are state machines over bytes, one for each connection. They
//! open no socket, read no clock and start no thread: the daemon passes in what it has received and
//! writes what they return. [`classify()`] decides, from the text of a statement alone, what it may do
//! to the database, and [`GroupProtocol`] encodes the calls to database instances.

mod backend;
mod caller;
mod classify;
mod group_protocol;
mod refusal;
mod sql;
mod wire;

pub use backend::{BackendCodec, BackendError, BackendEvent};
pub use caller::{
    AnswerMismatch, CallerCodec, CallerLimits, CallerMessage, Greeting, LocalStatement,
    ProtocolError, RankList, Request, SessionSettings, Setting, StartupRequest,
};
pub use classify::{Classification, classify};
pub use group_protocol::{FunctionGroupProtocol, GroupError, GroupProtocol};
pub use refusal::Refusal;
