//! State of one database instance, shared by its connection and replication threads.

use std::collections::{BTreeMap, VecDeque};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use super::error::SqlError;
use super::faults::Faults;
use super::storage::{Entry, Storage};
use crate::server;

/// What other threads need to know of a connection, by process id.
#[derive(Debug, Default)]
pub(crate) struct SessionEntry {
    pub(crate) secret: i32,
    /// Whether a statement is running, so that a cancel request has something to cancel.
    pub(crate) running: bool,
    pub(crate) cancelled: bool,
}

#[derive(Debug, Default)]
pub(crate) struct State {
    pub(crate) storage: Storage,
    /// Term that the instance was promoted with while it is the primary.
    pub(crate) primary_term: Option<u64>,
    /// Address that a replica pulls the log from.
    pub(crate) following: Option<SocketAddr>,
    /// Counts changes of `following`, so that a stream of an earlier one is dropped.
    pub(crate) follow_epoch: u64,
    pub(crate) upstream: Option<TcpStream>,
    pub(crate) primary_heard_at: Option<Instant>,
    /// Received entries that are not applied yet, with the time of their arrival.
    pub(crate) received: VecDeque<(Instant, Arc<Entry>)>,
    /// Process id of the connection that holds the write lock.
    pub(crate) writer: Option<i32>,
    pub(crate) running_statements: usize,
    pub(crate) connections: usize,
    pub(crate) last_process_id: i32,
    pub(crate) sessions: BTreeMap<i32, SessionEntry>,
    pub(crate) faults: Faults,
    pub(crate) stopped: bool,
}

impl State {
    /// Applies received entries that have reached the data lag; returns when the next one is due.
    pub(crate) fn apply_due(&mut self) -> Option<Instant> {
        while let Some((received_at, entry)) = self.received.front() {
            let due_at = *received_at + Duration::from_millis(self.faults.lag_ms);
            if due_at > Instant::now() {
                return Some(due_at);
            }
            self.storage.append(Arc::clone(entry));
            self.received.pop_front();
        }
        None
    }
}

#[derive(Debug)]
pub(crate) struct Instance {
    pub(crate) slots: usize,
    pub(crate) connections_limit: usize,
    state: Mutex<State>,
    changed: Condvar,
}

impl Instance {
    pub(crate) fn new(slots: usize, connections_limit: usize, state: State) -> Self {
        Self { slots, connections_limit, state: Mutex::new(state), changed: Condvar::new() }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        server::lock(&self.state)
    }

    /// Wakes all threads that wait for a change of the state.
    pub(crate) fn notify(&self) {
        self.changed.notify_all();
    }

    /// Waits for the next change of the state, or until a deadline.
    pub(crate) fn wait_change<'a>(
        &self,
        state: MutexGuard<'a, State>,
        deadline: Option<Instant>,
    ) -> MutexGuard<'a, State> {
        let Some(deadline) = deadline else {
            return self.changed.wait(state).unwrap_or_else(PoisonError::into_inner);
        };
        let left = deadline.saturating_duration_since(Instant::now());
        self.changed.wait_timeout(state, left).unwrap_or_else(PoisonError::into_inner).0
    }

    /// Waits on behalf of a statement until `ready`, or for at most `limit`. Ends with an error when
    /// the statement is cancelled or the instance stops.
    pub(crate) fn wait_statement(
        &self,
        process_id: i32,
        limit: Option<Duration>,
        mut ready: impl FnMut(&mut State) -> bool,
    ) -> Result<(), SqlError> {
        let deadline = limit.map(|limit| Instant::now() + limit);
        let mut state = self.lock();
        loop {
            if state.stopped {
                return Err(SqlError::new("57P01", "instance has been stopped"));
            }
            if state.sessions.get(&process_id).is_some_and(|session| session.cancelled) {
                return Err(SqlError::new("57014", "canceling statement due to user request"));
            }
            if ready(&mut state) || deadline.is_some_and(|deadline| Instant::now() >= deadline) {
                return Ok(());
            }
            state = self.wait_change(state, deadline);
        }
    }

    /// Waits while a fault is on; returns `false` when the instance has been stopped.
    pub(crate) fn wait_fault(&self, fault: impl Fn(&Faults) -> bool) -> bool {
        let mut state = self.lock();
        while fault(&state.faults) && !state.stopped {
            state = self.wait_change(state, None);
        }
        !state.stopped
    }

    /// Marks the statement of a connection as cancelled if the secret is right and one is running.
    pub(crate) fn cancel(&self, process_id: i32, secret: Option<i32>) {
        let mut state = self.lock();
        if let Some(session) = state.sessions.get_mut(&process_id)
            && Some(session.secret) == secret
            && session.running
        {
            session.cancelled = true;
            self.notify();
        }
    }
}
