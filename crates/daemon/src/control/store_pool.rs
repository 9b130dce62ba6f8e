//! Threads for blocking calls to the key-value service and the host list.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, bounded};
use flamingorock_core::StoreCallKey;
use flamingorock_core::control::StoreOperation;
use flamingorock_platform::{
    ConsulHostList, ConsulStore, HostList, KeyValueStore, Keys, execute_operation,
};

use crate::error::DaemonError;
use crate::mailbox::MailboxSender;
use crate::metrics::Metrics;
use crate::thread_messages::ControlThreadMessage;

/// Number of threads for calls other than watches.
const CALL_THREADS: usize = 2;

/// Capacity of each queue. The control machine limits its number of calls; in a longer queue, calls
/// would reach their deadlines before a thread gets to them.
const QUEUE_LIMIT: usize = 256;

/// Interval of reading the host list. A change must take effect within 2 s.
const HOST_LIST_INTERVAL: Duration = Duration::from_secs(1);

/// A call to the key-value service.
#[derive(Debug)]
pub struct StoreJob {
    /// Key of the call, returned with the result.
    pub call: StoreCallKey,
    /// Operation to perform.
    pub operation: StoreOperation,
    /// Name of the database that the operation concerns; `None` if it concerns none, or one that is
    /// not in the configuration.
    pub database_name: Option<String>,
    /// When the call fails if it has not completed.
    pub deadline: Instant,
}

/// Thread pool for blocking calls. A watch blocks its thread until the watched key changes or the
/// deadline passes, so watches have a thread of their own and never delay other calls.
#[derive(Debug)]
pub struct StorePool {
    calls: Sender<StoreJob>,
    watches: Sender<StoreJob>,
}

impl StorePool {
    /// Starts the threads, including the one that polls the host list. The others end once the pool
    /// is dropped and the queued calls are done.
    ///
    /// # Errors
    ///
    /// The system cannot start a thread.
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
            spawn(format!("store-{index}"), move || run_calls(&store, &keys, &queue, &control))?;
        }
        let (store, keys, sender) = (store.clone(), keys.clone(), control.clone());
        spawn("store-watch".to_owned(), move || run_calls(&store, &keys, &watch_queue, &sender))?;
        let control = control.clone();
        spawn("host-list".to_owned(), move || poll_host_list(&host_list, &control, &metrics))?;
        Ok(Self { calls, watches })
    }

    /// Queues a call. Returns it as the error if the queue is full.
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

/// Performs queued calls one by one and sends the results to the control thread. Blocking while its
/// mailbox is full cannot deadlock, because the control thread never waits for these threads.
fn run_calls<S: KeyValueStore>(
    store: &S,
    keys: &Keys,
    queue: &Receiver<StoreJob>,
    control: &MailboxSender<ControlThreadMessage>,
) {
    for job in queue {
        let name_of = |_| job.database_name.clone();
        let response = execute_operation(store, keys, &job.operation, name_of, job.deadline);
        if !control.send(ControlThreadMessage::StoreCallCompleted { call: job.call, response }) {
            return;
        }
    }
}

/// Reads the host list at intervals and sends it to the control thread, until that has ended.
fn poll_host_list<L: HostList>(
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
