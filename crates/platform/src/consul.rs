//! Clients of the Consul HTTP API: the key-value store and the node catalog.

mod catalog_node;
mod client;
mod host_list;
mod kv_entry;
mod response;
mod store;

pub use host_list::ConsulHostList;
pub use store::ConsulStore;
