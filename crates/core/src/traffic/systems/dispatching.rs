//! Owner side: dispatch of queued requests to connections.

use crate::arena::Arena;
use crate::traffic::connection::ConnectionState;
use crate::traffic::database_state::DatabaseState;
use crate::traffic::tables::Tables;
use crate::traffic::work_item::{WorkItem, WorkItemState};
use crate::traffic::{Action, DispatchPolicy};
use crate::{ConnectionKey, DatabaseId, ResultCode, WorkItemKey};

use super::finishing;

/// Dispatches as many queued requests as slots and connections allow.
pub(crate) fn dispatch<P: DispatchPolicy>(tables: &mut Tables<P>) {
    let ids: Vec<DatabaseId> = tables.databases.keys().copied().collect();
    for id in ids {
        let Some(database) = tables.databases.get_mut(&id) else { continue };
        for instance in &mut database.instances {
            instance.wanted_connections = 0;
        }
        if database.primary().is_none() || database.resumed_us.is_some() {
            continue;
        }
        dispatch_transaction_statements(tables, id);
        dispatch_to_replicas(tables, id);
        dispatch_to_primary(tables, id);
    }
}

/// Dispatches statements of open transactions, each on the connection that its transaction holds.
fn dispatch_transaction_statements<P: DispatchPolicy>(tables: &mut Tables<P>, id: DatabaseId) {
    loop {
        let Some(database) = tables.databases.get_mut(&id) else { return };
        let Some(&key) = database.transaction_queue.front() else { return };
        let work = tables.work_items.get(key);
        let transaction = work.and_then(|work| work.request.transaction);
        let Some(transaction) = transaction.and_then(|key| tables.transactions.get(key)) else {
            database.transaction_queue.pop_front();
            continue;
        };
        if !database.primary().is_some_and(|primary| primary.has_free_slot()) {
            return;
        }
        let connection = transaction.connection;
        database.transaction_queue.pop_front();
        execute(tables, key, connection);
    }
}

fn dispatch_to_primary<P: DispatchPolicy>(tables: &mut Tables<P>, id: DatabaseId) {
    loop {
        let Some(database) = tables.databases.get_mut(&id) else { return };
        let Some(index) = database.primary_index() else { return };
        if !database.instances[index].has_free_slot() {
            return;
        }
        let Some((rank, key)) = database.primary_queues.choose(&tables.work_items) else { return };
        if would_miss_deadline(database, &tables.work_items, key, tables.now_us) {
            database.primary_queues.remove_head(rank);
            database.decay_confirmation_time();
            finishing::refuse(tables, key, ResultCode::QueueDeadline);
            continue;
        }
        let Some(connection) = database.instances[index].idle.pop() else {
            let waiting = u16::try_from(database.primary_queues.len()).unwrap_or(u16::MAX);
            let instance = &mut database.instances[index];
            instance.wanted_connections =
                waiting.min(instance.settings.slots - instance.running_statements);
            return;
        };
        let waited_us = waited_us(&tables.work_items, key, tables.now_us);
        let slots = u64::from(database.instances[index].settings.slots);
        database.primary_queues.dispatch(rank, slots, waited_us, tables.now_us);
        execute(tables, key, connection);
    }
}

/// Whether the remaining time of a request is too short for its statement and the confirmation.
/// Running it would probably end with an unknown outcome; after a refusal it can be sent again.
fn would_miss_deadline<P: DispatchPolicy>(
    database: &DatabaseState<P>,
    work_items: &Arena<WorkItemKey, WorkItem>,
    key: WorkItemKey,
    now_us: u64,
) -> bool {
    let needed_us =
        database.primary_queues.service_time_margin_us() + 2 * database.confirmation_time_us;
    work_items.get(key).is_some_and(|work| now_us + needed_us > work.deadline_us)
}

fn waited_us(work_items: &Arena<WorkItemKey, WorkItem>, key: WorkItemKey, now_us: u64) -> u64 {
    work_items.get(key).map_or(0, |work| now_us - work.arrived_us)
}

/// Where to run a read that allows stale data.
enum ReplicaChoice {
    /// On this instance.
    Run(usize),
    /// Replicas could serve it, but all of them are busy. The listed ones have a free slot but no
    /// idle connection.
    Wait(Vec<usize>),
    /// On the primary, because no replica's data is recent enough.
    Primary,
}

fn dispatch_to_replicas<P: DispatchPolicy>(tables: &mut Tables<P>, id: DatabaseId) {
    loop {
        let Some(database) = tables.databases.get_mut(&id) else { return };
        let Some((rank, key)) = database.replica_queues.choose(&tables.work_items) else { return };
        let Some(work) = tables.work_items.get(key) else { return };
        let leaving = |index: usize| tables.view.is_leaving(database.instances[index].id);
        let data_centre = &tables.config.data_centre;
        match choose_replica(database, work, leaving, data_centre, tables.now_us) {
            ReplicaChoice::Run(index) => {
                let waited_us = tables.now_us - work.arrived_us;
                let slots = database.replica_slots();
                database.replica_queues.dispatch(rank, slots, waited_us, tables.now_us);
                let connection = database.instances[index].idle.pop();
                execute(tables, key, connection.expect("the chosen replica has a free connection"));
            }
            ReplicaChoice::Wait(without_connection) => {
                for index in without_connection {
                    database.instances[index].wanted_connections = 1;
                }
                return;
            }
            ReplicaChoice::Primary => {
                database.replica_queues.remove_head(rank);
                database.primary_queues.push(rank, key);
            }
        }
    }
}

fn choose_replica<P: DispatchPolicy>(
    database: &DatabaseState<P>,
    work: &WorkItem,
    leaving: impl Fn(usize) -> bool,
    data_centre: &str,
    now_us: u64,
) -> ReplicaChoice {
    let primary_index = database.primary_index();
    let candidates = (0..database.instances.len()).filter(|&index| {
        Some(index) != primary_index && !leaving(index) && can_serve(database, index, work, now_us)
    });
    let (mut best, mut without_connection, mut any_candidate) = (None, Vec::new(), false);
    for index in candidates {
        any_candidate = true;
        let instance = &database.instances[index];
        if !instance.has_free_slot() {
            continue;
        }
        if instance.idle.is_empty() {
            without_connection.push(index);
            continue;
        }
        let preference =
            (instance.settings.data_centre != data_centre, instance.running_statements, index);
        best = best.min(Some(preference)).or(Some(preference));
    }
    match best {
        Some((_, _, index)) => ReplicaChoice::Run(index),
        None if any_candidate => ReplicaChoice::Wait(without_connection),
        None => ReplicaChoice::Primary,
    }
}

/// Whether an instance's data satisfies a read: its minimum position and its maximum staleness.
fn can_serve<P: DispatchPolicy>(
    database: &DatabaseState<P>,
    index: usize,
    work: &WorkItem,
    now_us: u64,
) -> bool {
    if database.instances[index].is_unconfirmed(now_us) {
        return false;
    }
    let Some(position) = database.position_of(index) else { return false };
    if work.request.min_position.is_some_and(|min_position| position < min_position) {
        return false;
    }
    let current_until_us = database.position_history.current_until_us(position);
    current_until_us.is_some_and(|until_us| now_us - until_us <= work.request.max_staleness_us)
}

/// Executes a request on a connection.
fn execute<P: DispatchPolicy>(
    tables: &mut Tables<P>,
    key: WorkItemKey,
    connection_key: ConnectionKey,
) {
    let Some(work) = tables.work_items.get_mut(key) else { return };
    let Some(connection) = tables.connections.get_mut(connection_key) else { return };
    let Some(database) = tables.databases.get_mut(&work.request.database) else { return };
    work.state = WorkItemState::Running {
        connection: connection_key,
        started_us: tables.now_us,
        cancelled: false,
    };
    connection.state = ConnectionState::Running(key);
    database.active_requests += 1;
    database.instances[usize::from(connection.instance.index)].running_statements += 1;
    tables.actions.push(Action::Execute {
        connection: connection_key,
        work: key,
        payload: work.request.payload.clone(),
        max_answer_bytes: database.service.max_answer_bytes,
    });
}
