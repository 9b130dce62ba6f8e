//! Startup and shutdown of the process.

use std::io;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{SystemTime, UNIX_EPOCH};

use flamingorock_config::Settings;
use flamingorock_core::control::{Control, ControlConfig};
use flamingorock_core::traffic::TrafficConfig;
use flamingorock_platform::{ConsulHostList, ConsulStore, Keys};

use crate::admin::{AdminParts, AdminServer, AdminStopHandle};
use crate::clock::Clock;
use crate::control::{ControlParts, ControlThread, ExitReason, StorePool};
use crate::error::DaemonError;
use crate::mailbox::MailboxSender;
use crate::metrics::Metrics;
use crate::poller::Poller;
use crate::thread_guard::ThreadGuard;
use crate::thread_messages::{ControlThreadMessage, TrafficThreadMessage};
use crate::traffic::{TrafficParts, TrafficThread};
use crate::{descriptors, logging};

/// Capacity of a thread's mailbox, in messages.
const MAILBOX_CAPACITY: usize = 16_384;

/// Runs a proxy until it is stopped by a signal or an operator. The calling thread becomes the
/// control thread.
///
/// # Errors
///
/// The process could not start, or one of its threads ended unexpectedly.
pub fn run(settings: Settings) -> Result<(), DaemonError> {
    logging::start(&settings.log);
    descriptors::raise_limit(settings.traffic.callers_limit);
    let settings = Arc::new(settings);
    let metrics = Arc::new(Metrics::default());
    let clock = Clock::start();
    let control = poller::<ControlThreadMessage>()?;
    let pollers = (0..settings.traffic.threads).map(|_| poller()).collect::<Result<Vec<_>, _>>()?;
    let mailboxes: Vec<_> = pollers.iter().map(Poller::sender).collect();
    let parts = TrafficParts {
        config: TrafficConfig::new(settings.host.id, &settings.host.data_centre),
        settings: Arc::clone(&settings),
        clock,
        metrics: Arc::clone(&metrics),
        threads: mailboxes.clone(),
        control: control.sender(),
    };
    let traffic = traffic_threads(pollers, &parts)?;
    let incarnation = incarnation();
    let admin = admin_server(&parts, incarnation)?;
    let admin_stop = admin.stop_handle();
    let store = store_pool(&parts)?;
    let machine = Control::new(control_config(&settings, incarnation));
    let traffic_mailboxes = mailboxes.clone();
    let control_parts =
        ControlParts { settings, machine, clock, metrics, traffic: traffic_mailboxes, store };
    let control = ControlThread::new(control, control_parts)?;
    let handles = start_threads(traffic, admin, &parts.control)?;
    tracing::info!(host = %parts.settings.host.id, "started");
    let exit = control.run();
    if exit == ExitReason::Drained {
        stop_threads(&mailboxes, &admin_stop, handles);
    }
    report_exit(exit)
}

fn poller<T>() -> Result<Poller<T>, DaemonError> {
    Poller::new(MAILBOX_CAPACITY).map_err(DaemonError::starting("a thread"))
}

fn traffic_threads(
    pollers: Vec<Poller<TrafficThreadMessage>>,
    parts: &TrafficParts,
) -> Result<Vec<TrafficThread>, DaemonError> {
    let count = parts.settings.traffic.threads;
    let with_index = (0..count).zip(pollers);
    with_index
        .map(|(thread, poller)| {
            let mut parts = parts.clone();
            parts.config = parts.config.thread(thread, count);
            TrafficThread::new(poller, parts)
        })
        .collect()
}

fn admin_server(parts: &TrafficParts, incarnation: u64) -> Result<AdminServer, DaemonError> {
    let settings = &parts.settings;
    AdminServer::bind(AdminParts {
        address: settings.listen.admin,
        key: settings.admin.key.clone(),
        host: settings.host.id,
        incarnation,
        metrics: Arc::clone(&parts.metrics),
        control: parts.control.clone(),
        traffic: parts.threads.clone(),
    })
}

fn store_pool(parts: &TrafficParts) -> Result<StorePool, DaemonError> {
    let store = ConsulStore::new(&parts.settings.store.url.to_string());
    let keys = Keys::new(&parts.settings.store.prefix);
    let host_list = ConsulHostList::new(&parts.settings.host_list.url.to_string());
    StorePool::start(&store, &keys, host_list, &parts.control, Arc::clone(&parts.metrics))
}

/// Unix time in microseconds, which distinguishes each start of a host from earlier ones.
fn incarnation() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX)
}

/// The seed includes the host, so that hosts started at the same time draw different random
/// numbers.
fn control_config(settings: &Settings, incarnation: u64) -> ControlConfig {
    let host = settings.host.id;
    ControlConfig::new(host)
        .peers(settings.peers.keys().copied().collect())
        .incarnation(incarnation)
        .seed(incarnation ^ u64::from(host.0) << 48)
}

fn start_threads(
    traffic: Vec<TrafficThread>,
    admin: AdminServer,
    control: &MailboxSender<ControlThreadMessage>,
) -> Result<Vec<JoinHandle<()>>, DaemonError> {
    let mut handles = Vec::new();
    for (index, thread) in traffic.into_iter().enumerate() {
        let guard = ThreadGuard::new("a traffic thread", control.clone());
        handles.push(spawn(format!("traffic-{index}"), move || {
            thread.run();
            drop(guard);
        })?);
    }
    let guard = ThreadGuard::new("the admin thread", control.clone());
    handles.push(spawn("admin".to_owned(), move || {
        admin.run();
        drop(guard);
    })?);
    Ok(handles)
}

fn spawn(
    name: String,
    body: impl FnOnce() + Send + 'static,
) -> Result<JoinHandle<()>, DaemonError> {
    let spawned: io::Result<_> = thread::Builder::new().name(name).spawn(body);
    spawned.map_err(DaemonError::starting("a thread"))
}

/// Stops the other threads and waits for them. The admin thread first completes the response that
/// it is writing, which may be the one to the request for this shutdown. Not called if the process
/// has to exit at once, because a thread that hangs would prevent that.
fn stop_threads(
    mailboxes: &[MailboxSender<TrafficThreadMessage>],
    admin: &AdminStopHandle,
    handles: Vec<JoinHandle<()>>,
) {
    admin.stop();
    for mailbox in mailboxes {
        mailbox.send(TrafficThreadMessage::Stop);
    }
    for handle in handles {
        // The panic of a thread has already been reported by its guard.
        let _ = handle.join();
    }
}

/// Logs why the process exits.
fn report_exit(exit: ExitReason) -> Result<(), DaemonError> {
    match exit {
        ExitReason::Drained => tracing::info!("shut down: everything was handed over"),
        ExitReason::DrainDeadline => tracing::warn!("shut down: the drain deadline passed"),
        ExitReason::SecondSignal => tracing::warn!("shut down at once: second signal"),
        ExitReason::ThreadEnded(thread) => return Err(DaemonError::ThreadEnded { thread }),
    }
    Ok(())
}
