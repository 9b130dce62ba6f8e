//! Clients of the platform's key-value service and host list.
//!
//! [`KeyValueStore`] and [`HostList`] are the interfaces; [`ConsulStore`] and [`ConsulHostList`]
//! implement them with blocking calls to the Consul HTTP API. Each call has a deadline, and its
//! error tells whether a write may have taken effect. Based on these traits, [`documents`] reads
//! and writes the stored types that the design page describes, and [`execute_operation`] executes
//! the store operations of the control state machine.

mod consul;
pub mod documents;
mod effect;
mod entry;
mod execute_operation;
mod history_record;
mod host_list;
mod indexed;
mod key_value_store;
mod keys;
mod store_error;
mod stored_configuration;
mod swap_outcome;

pub use consul::{ConsulHostList, ConsulStore};
pub use effect::Effect;
pub use entry::Entry;
pub use execute_operation::{execute_operation, try_execute_operation};
pub use history_record::HistoryRecord;
pub use host_list::HostList;
pub use indexed::Indexed;
pub use key_value_store::KeyValueStore;
pub use keys::Keys;
pub use store_error::StoreError;
pub use stored_configuration::StoredConfiguration;
pub use swap_outcome::SwapOutcome;
