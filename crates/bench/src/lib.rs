//! Load generator and benchmark.
//!
//! It starts stand-ins of one database in this process and real proxy processes on loopback, and
//! measures latency, throughput, memory and idle cost of the proxies. Every loop is bounded in
//! count or time. Destructors end the processes and remove the files, also when a run fails.

mod arguments;
mod bench_error;
mod fleet;
mod interrupt;
mod load;
mod measure;
mod process_usage;
mod report;
mod run;
mod statement;

pub use arguments::Arguments;
pub use bench_error::BenchError;
pub use load::{Reply, ReplyScanner};
pub use report::Report;
pub use run::run;
pub use statement::Statement;
