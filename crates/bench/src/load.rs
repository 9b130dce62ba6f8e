//! Callers of the load.

mod answer_scanner;
mod caller;
mod caller_key;
mod event_loop;
mod session;

pub use answer_scanner::{Answer, AnswerScanner};
pub(crate) use event_loop::{EventLoop, LoadResult};
pub(crate) use session::{Session, SessionOptions};
