//! The flamingorock proxy daemon: sockets, threads, signals, metrics and the admin port.
//!
//! The state machines of `flamingorock-core` make all decisions. The threads here decode bytes to
//! events and encode actions to bytes. A thread blocks in its poll until a socket is ready, another
//! thread has sent a message or the next deadline has passed; then it ticks its state machine and
//! performs the actions. Sockets are kept in one table per kind. The key of a socket in its table
//! is also its token in the poll.
//!
//! [`run`] serves PostgreSQL callers, with one owning proxy per database. [`run_pooled`] serves
//! callers on the Jardinet platform, with connections from every proxy to every instance.

mod admin;
mod args;
mod clock;
mod control;
mod descriptors;
mod error;
mod io_context;
mod links;
mod logging;
mod machine_driver;
mod mailbox;
mod metrics;
mod monitors;
mod net;
mod outbox;
mod poller;
mod pooled;
mod run;
mod thread_guard;
mod thread_messages;
mod traffic;

pub use args::Args;
pub use clock::Clock;
pub use error::DaemonError;
pub use mailbox::{MailboxSender, mailbox};
pub use metrics::NAMES as METRIC_NAMES;
pub use net::{Deadlines, SocketKey, SocketTable, WriteBuffer};
pub use outbox::Outbox;
pub use pooled::run as run_pooled;
pub use run::run;
