//! Stand-ins for a database instance, the key-value service and the host list.
//!
//! They are small fakes with faults on a switch, for tests and the quick start only. Each runs on one
//! thread per connection and keeps everything in memory.

mod database;
mod server;

pub use database::{Database, DatabaseConfig, Storage};
