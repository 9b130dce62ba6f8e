//! The flamingorock proxy daemon: sockets, threads, signals, metrics and the admin port.
//!
//! Every decision is made by the machines of `flamingorock-core`. The threads here translate bytes
//! to events and actions to bytes. A thread blocks in its poll until a socket is ready, another
//! thread has sent something or a stored deadline is reached; then it ticks its machine and carries
//! out the actions. Sockets live in tables by kind, addressed by keys that are also the poll's
//! tokens.
//!
//! [`run`] serves PostgreSQL callers with one owner per database; [`run_pooled`] serves callers on
//! the Jardinet platform with connections from every proxy to every instance.

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
