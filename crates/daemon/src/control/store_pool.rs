//! Threads for blocking calls to the key-value service and the host list.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, bounded};
use flamingorock_core::StoreCallKey;
use flamingorock_core::control::StoreOperation;
use flamingorock_platform::{
    ConsulHostList, ConsulStore, HostList, KeyValueStore, Keys, carry_out,
};

use crate::error::DaemonError;
use crate::mailbox::MailboxSender;
use crate::metrics::Metrics;
use crate::thread_messages::ControlThreadMessage;

/// Threads for calls other than watches.
const CALL_THREADS: usize = 2;

/// Calls that wait for a thread. The control machine has a budget of calls; more in the queue would
/// pass their deadlines there.
const QUEUE_LIMIT: usize = 256;

/// The host list must be honoured within 2 s of its change.
const HOST_LIST_INTERVAL: Duration = Duration::from_secs(1);

/// A call to the key-value service.
#[derive(Debug)]
pub struct StoreJob {
    /// Key of the call; comes back with the answer.
    pub call: StoreCallKey,
    /// What to do.
    pub operation: StoreOperation,
    /// Name of the database that the operation concerns, if it concerns one that is known.
    pub database_name: Option<String>,
    /// When the call is given up.
    pub deadline: Instant,
}

/// Threads for blocking calls. A watch occupies its thread until something changes, so watches have
/// a thread of their own and other calls never wait behind one.
#[derive(Debug)]
pub struct StorePool {
    calls: Sender<StoreJob>,
    watches: Sender<StoreJob>,
}

impl StorePool {
    /// Starts the threads. They end when the pool is dropped and their calls are done.
    ///
    /// # Errors
    ///
    /// The system refuses a thread.
    pub fn start(
        store: &ConsulStore,
        keys: &Keys,
        host_list: ConsulHostList,
        control: &MailboxSender<ControlThreadMessage>,
        metrics: Arc<Metrics>,
    ) -> Result<Self, DaemonError> {
        let (calls, call_queue) = bounded(QUEUE_LIMIT);
        let (watches, watch_queue) = bounded(QUEUE_LIMIT);
        for index in 0..CALL_THREADS {
            let (store, keys, queue) = (store.clone(), keys.clone(), call_queue.clone());
            let control = control.clone();
            spawn(format!("store-{index}"), move || serve(&store, &keys, &queue, &control))?;
        }
        let (store, keys, sender) = (store.clone(), keys.clone(), control.clone());
        spawn("store-watch".to_owned(), move || serve(&store, &keys, &watch_queue, &sender))?;
        let control = control.clone();
        spawn("host-list".to_owned(), move || read_hosts(&host_list, &control, &metrics))?;
        Ok(Self { calls, watches })
    }

    /// Queues a call. Gives it back if the queue is full.
    pub fn submit(&self, job: StoreJob) -> Result<(), StoreJob> {
        let queue = match job.operation {
            StoreOperation::WatchConfiguration { .. } => &self.watches,
            _ => &self.calls,
        };
        queue.try_send(job).map_err(|error| error.into_inner())
    }
}

fn spawn(name: String, body: impl FnOnce() + Send + 'static) -> Result<(), DaemonError> {
    let spawned = thread::Builder::new().name(name).spawn(body);
    spawned.map(drop).map_err(DaemonError::starting("a store thread"))
}

/// Carries out calls one after the other. These threads may wait for room in the control thread's
/// mailbox: the control thread never waits for them.
fn serve<S: KeyValueStore>(
    store: &S,
    keys: &Keys,
    queue: &Receiver<StoreJob>,
    control: &MailboxSender<ControlThreadMessage>,
) {
    for job in queue {
        let name_of = |_| job.database_name.clone();
        let response = carry_out(store, keys, &job.operation, name_of, job.deadline);
        if !control.send(ControlThreadMessage::StoreCallCompleted { call: job.call, response }) {
            return;
        }
    }
}

fn read_hosts<L: HostList>(
    list: &L,
    control: &MailboxSender<ControlThreadMessage>,
    metrics: &Metrics,
) {
    loop {
        let next = Instant::now() + HOST_LIST_INTERVAL;
        metrics.host_list_reads.inc();
        match list.read(next) {
            Ok(hosts) => {
                if !control.send(ControlThreadMessage::HostListRead(hosts)) {
                    return;
                }
            }
            Err(_) => {
                metrics.host_list_failures.inc();
            }
        }
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
}
