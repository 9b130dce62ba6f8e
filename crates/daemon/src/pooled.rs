//! The pooled mode: every proxy holds connections to every instance.
//!
//! The machines of `flamingorock-pool` decide; `flamingorock-jardinet` translates bytes. The control
//! thread calls the platform, exchanges datagrams with the other proxies and answers the balancer.
//! One traffic thread serves the callers.

mod backends;
mod callers;
mod control_thread;
mod decision_log;
mod http_calls;
mod http_server;
mod log_sink;
mod metrics;
mod run;
mod signals;
mod thread_messages;
mod traffic_thread;

pub use run::run;
