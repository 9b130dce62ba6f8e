//! Stand-ins for a database instance, the key-value service and the host list.
//!
//! They are small fakes with faults on a switch, for tests and the quick start only. Each runs on one
//! thread per connection and keeps everything in memory.

mod database;
mod host_list;
mod http;
pub mod jardinet;
mod ports;
mod server;
mod store;

pub use database::{Database, DatabaseConfig, Storage};
pub use host_list::HostList;
pub use ports::{free_port, reservation_address};
pub use store::Store;
