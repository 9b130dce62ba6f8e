//! Control thread. It runs the control state machine, and serves heartbeats, control messages,
//! monitor connections, and calls to the key-value service and the host list.

mod drain;
mod handle_message;
mod heartbeat_socket;
mod parts;
mod perform;
mod signals;
mod store_pool;
mod thread;
mod view_publisher;

pub use drain::{Drain, ExitReason};
pub use heartbeat_socket::HeartbeatSocket;
pub use parts::ControlParts;
pub use signals::Signals;
pub use store_pool::{StoreJob, StorePool};
pub use thread::ControlThread;
pub use view_publisher::ViewPublisher;
