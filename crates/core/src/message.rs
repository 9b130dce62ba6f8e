//! Messages between proxies. The encoding is in the crate `flamingorock-peer`.
//!
//! Hosts' clocks differ, so that messages carry remaining times; the receiver turns them into
//! deadlines of its own clock on arrival.

mod control_message;
mod heartbeat;
mod outcome;
mod traffic_message;

pub use control_message::ControlMessage;
pub use heartbeat::{Heartbeat, OwnedDatabase, OwnershipUpdate};
pub use outcome::Outcome;
pub use traffic_message::{ExecuteRequest, TrafficMessage};
