//! The control-plane state machine: membership, configuration, ownership of databases, terms and
//! promotion.

mod action;
mod control_config;
mod counters;
mod event;
mod host_entry;
mod inputs;
mod instance_operation;
mod machine;
mod owner_record;
mod state_change;
mod status;
mod store_operation;
mod store_response;
mod systems;
mod tables;

pub use action::Action;
pub use control_config::ControlConfig;
pub use counters::ControlCounters;
pub use event::Event;
pub use host_entry::HostEntry;
pub use instance_operation::InstanceOperation;
pub use machine::Control;
pub use owner_record::OwnerRecord;
pub use state_change::StateChange;
pub use status::{ControlStatus, DatabaseStatus, HostStatus, InstanceStatus, OwnedStatus};
pub use store_operation::StoreOperation;
pub use store_response::StoreResponse;
