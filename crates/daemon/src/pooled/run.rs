//! Startup and shutdown of a process in the pooled mode.

use std::io;
use std::thread;
use std::time::{SystemTime, UNIX_EPOCH};

use flamingorock_jardinet::{HostSettings, settings_path};
use flamingorock_pool::Permit;
use flamingorock_pool::traffic::TrafficConfig;
use tracing::Level;

use super::control_thread::{ControlParts, ControlThread};
use super::log_sink::LogSink;
use super::metrics::PooledMetrics;
use super::thread_messages::ControlThreadMessage;
use super::traffic_thread::{TrafficParts, TrafficThread};
use crate::clock::Clock;
use crate::error::DaemonError;
use crate::mailbox::MailboxSender;
use crate::poller::Poller;

/// Capacity of a thread's mailbox, in messages.
const MAILBOX_CAPACITY: usize = 4096;
/// Stack size of the traffic thread, whose systems do not recurse deeply.
const STACK_BYTES: usize = 512 * 1024;

/// Runs a proxy in the pooled mode until it is stopped by a signal. The calling thread becomes the
/// control thread.
///
/// # Errors
///
/// The process could not start, or its traffic thread ended unexpectedly.
pub fn run(metrics_port: Option<u16>) -> Result<(), DaemonError> {
    init_logging();
    let settings_path = settings_path();
    let settings = HostSettings::load(&settings_path).map_err(DaemonError::Settings)?;
    let clock = Clock::start();
    let permit = Permit::default();
    let metrics = PooledMetrics::default();
    let control = Poller::new(MAILBOX_CAPACITY).map_err(DaemonError::starting("a thread"))?;
    let traffic = Poller::new(MAILBOX_CAPACITY).map_err(DaemonError::starting("a thread"))?;
    let traffic_mailbox = traffic.sender();
    let parts = TrafficParts {
        config: TrafficConfig {
            name: settings.name.clone(),
            data_centre: settings.data_centre.clone(),
            permit: permit.clone(),
        },
        callers_address: settings.callers_address,
        clock,
        metrics: metrics.clone(),
        control: control.sender(),
    };
    let guard = TrafficGuard { control: control.sender() };
    let thread = TrafficThread::new(traffic, parts)?;
    let incarnation = incarnation();
    tracing::info!(
        event = "start",
        host = %String::from_utf8_lossy(&settings.name),
        incarnation,
        callers = %settings.callers_address,
        store = %settings.store_address,
    );
    let parts = ControlParts {
        settings,
        settings_path,
        metrics_port,
        incarnation,
        permit,
        clock,
        metrics,
        traffic: traffic_mailbox,
    };
    let control = ControlThread::new(control, parts)?;
    let spawned: io::Result<_> = thread::Builder::new()
        .name("traffic".to_owned())
        .stack_size(STACK_BYTES)
        .spawn(move || {
            let _guard = guard;
            thread.run();
        });
    spawned.map_err(DaemonError::starting("the traffic thread"))?;
    control.run()
}

fn init_logging() {
    let builder = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_current_span(false)
        .with_span_list(false)
        .with_max_level(Level::INFO)
        .with_writer(LogSink::default());
    // The only possible error is that a subscriber is already installed, as in tests.
    let _ = builder.try_init();
}

/// Unix time in microseconds, which distinguishes each start of a host from earlier ones.
fn incarnation() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX)
}

/// Reports the end of the traffic thread to the control thread, which then ends the process so that
/// it is restarted. Without a traffic thread the process would accept connections and never
/// respond.
struct TrafficGuard {
    control: MailboxSender<ControlThreadMessage>,
}

impl Drop for TrafficGuard {
    fn drop(&mut self) {
        self.control.send(ControlThreadMessage::TrafficEnded);
    }
}
