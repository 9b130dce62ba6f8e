//! Messages between proxies. Their encoding is in the crate `flamingorock-peer`.
//!
//! The clocks of hosts are not synchronised, so messages carry remaining times. The receiver
//! converts them to deadlines on its own clock on arrival.

mod control_message;
mod heartbeat;
mod outcome;
mod traffic_message;

pub use control_message::ControlMessage;
pub use heartbeat::{Heartbeat, OwnedDatabase, OwnershipUpdate};
pub use outcome::Outcome;
pub use traffic_message::{ExecuteRequest, TrafficMessage};
