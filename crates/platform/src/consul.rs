//! The Consul HTTP API.

mod answer;
mod catalog_node;
mod client;
mod host_list;
mod kv_entry;
mod store;

pub use host_list::ConsulHostList;
pub use store::ConsulStore;
