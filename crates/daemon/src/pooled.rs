//! The pooled mode: every proxy holds connections to every instance.
//!
//! The state machines of `flamingorock-pool` make all decisions, and `flamingorock-jardinet`
//! encodes and decodes the messages. The control thread calls the platform's services, exchanges
//! datagrams with the other proxies and serves the load balancer's readiness probe and the metrics.
//! One traffic thread serves all callers.

mod backends;
mod call_context;
mod callers;
mod control_thread;
mod decision_log;
mod http_client;
mod http_server;
mod log_sink;
mod metrics;
mod run;
mod signals;
mod thread_messages;
mod traffic_thread;

pub use run::run;
