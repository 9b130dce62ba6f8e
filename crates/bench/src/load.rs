//! Load generator: the sessions of its callers and the event loop that runs them.

mod caller;
mod caller_key;
mod event_loop;
mod reply_scanner;
mod session;

pub(crate) use event_loop::{EventLoop, LoadResult};
pub use reply_scanner::{Reply, ReplyScanner};
pub(crate) use session::{Session, SessionOptions};
