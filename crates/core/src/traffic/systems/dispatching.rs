//! Owner side: from the queues to the connections.

use crate::arena::Arena;
use crate::traffic::connection::ConnectionState;
use crate::traffic::database_state::DatabaseState;
use crate::traffic::tables::Tables;
use crate::traffic::work::{Work, WorkState};
use crate::traffic::{Action, DispatchPolicy};
use crate::{ConnectionKey, DatabaseId, ResultCode, WorkItemKey};

use super::finishing;

/// Runs as much queued work as slots and connections allow.
pub(crate) fn dispatch<P: DispatchPolicy>(tables: &mut Tables<P>) {
    let ids: Vec<DatabaseId> = tables.databases.keys().copied().collect();
    for id in ids {
        let Some(database) = tables.databases.get_mut(&id) else { continue };
        for instance in &mut database.instances {
            instance.wanted = 0;
        }
        if database.primary().is_none() || database.resumed_us.is_some() {
            continue;
        }
        run_transaction_statements(tables, id);
        run_replica_lane(tables, id);
        run_primary_lane(tables, id);
    }
}

/// Runs statements of open transactions, each on the connection that its transaction holds.
fn run_transaction_statements<P: DispatchPolicy>(tables: &mut Tables<P>, id: DatabaseId) {
    loop {
        let Some(database) = tables.databases.get_mut(&id) else { return };
        let Some(&key) = database.transaction_queue.front() else { return };
        let work = tables.works.get(key);
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
        run(tables, key, connection);
    }
}

fn run_primary_lane<P: DispatchPolicy>(tables: &mut Tables<P>, id: DatabaseId) {
    loop {
        let Some(database) = tables.databases.get_mut(&id) else { return };
        let Some(index) = database.primary_index() else { return };
        if !database.instances[index].has_free_slot() {
            return;
        }
        let Some((rank, key)) = database.primary_lane.choose(&tables.works) else { return };
        if is_too_late(database, &tables.works, key, tables.now_us) {
            database.primary_lane.remove_head(rank);
            database.relax_confirmation_time();
            finishing::refuse(tables, key, ResultCode::QueueDeadline);
            continue;
        }
        let Some(connection) = database.instances[index].idle.pop() else {
            let waiting = u16::try_from(database.primary_lane.len()).unwrap_or(u16::MAX);
            let instance = &mut database.instances[index];
            instance.wanted = waiting.min(instance.settings.slots - instance.running);
            return;
        };
        let waited_us = waited_us(&tables.works, key, tables.now_us);
        let slots = u64::from(database.instances[index].settings.slots);
        database.primary_lane.dispatch(rank, slots, waited_us, tables.now_us);
        run(tables, key, connection);
    }
}

/// Whether the time left to a request is too short for its statement and the confirmation. It would
/// run in vain and end with an unknown outcome; refused, it can be sent again.
fn is_too_late<P: DispatchPolicy>(
    database: &DatabaseState<P>,
    works: &Arena<WorkItemKey, Work>,
    key: WorkItemKey,
    now_us: u64,
) -> bool {
    let needed_us =
        database.primary_lane.service_time_margin_us() + 2 * database.confirmation_time_us;
    works.get(key).is_some_and(|work| now_us + needed_us > work.deadline_us)
}

fn waited_us(works: &Arena<WorkItemKey, Work>, key: WorkItemKey, now_us: u64) -> u64 {
    works.get(key).map_or(0, |work| now_us - work.arrived_us)
}

/// Where a read that accepts stale data runs.
enum ReplicaChoice {
    /// On this instance.
    Run(usize),
    /// Replicas could serve it, but all of them are busy. Those listed have a free slot and lack a
    /// connection.
    Wait(Vec<usize>),
    /// On the primary, because no replica has data that are new enough.
    Primary,
}

fn run_replica_lane<P: DispatchPolicy>(tables: &mut Tables<P>, id: DatabaseId) {
    loop {
        let Some(database) = tables.databases.get_mut(&id) else { return };
        let Some((rank, key)) = database.replica_lane.choose(&tables.works) else { return };
        let Some(work) = tables.works.get(key) else { return };
        let leaving = |index: usize| tables.view.is_leaving(database.instances[index].id);
        let data_centre = &tables.config.data_centre;
        match choose_replica(database, work, leaving, data_centre, tables.now_us) {
            ReplicaChoice::Run(index) => {
                let waited_us = tables.now_us - work.arrived_us;
                let slots = database.replica_slots();
                database.replica_lane.dispatch(rank, slots, waited_us, tables.now_us);
                let connection = database.instances[index].idle.pop();
                run(tables, key, connection.expect("the chosen replica has a free connection"));
            }
            ReplicaChoice::Wait(lacking) => {
                for index in lacking {
                    database.instances[index].wanted = 1;
                }
                return;
            }
            ReplicaChoice::Primary => {
                database.replica_lane.remove_head(rank);
                database.primary_lane.push(rank, key);
            }
        }
    }
}

fn choose_replica<P: DispatchPolicy>(
    database: &DatabaseState<P>,
    work: &Work,
    leaving: impl Fn(usize) -> bool,
    data_centre: &str,
    now_us: u64,
) -> ReplicaChoice {
    let primary_index = database.primary_index();
    let candidates = (0..database.instances.len()).filter(|&index| {
        Some(index) != primary_index && !leaving(index) && can_serve(database, index, work, now_us)
    });
    let (mut best, mut lacking, mut any) = (None, Vec::new(), false);
    for index in candidates {
        any = true;
        let instance = &database.instances[index];
        if !instance.has_free_slot() {
            continue;
        }
        if instance.idle.is_empty() {
            lacking.push(index);
            continue;
        }
        let preference = (instance.settings.data_centre != data_centre, instance.running, index);
        best = best.min(Some(preference)).or(Some(preference));
    }
    match best {
        Some((_, _, index)) => ReplicaChoice::Run(index),
        None if any => ReplicaChoice::Wait(lacking),
        None => ReplicaChoice::Primary,
    }
}

/// Whether an instance's data satisfy a read: the session's token and the allowed age.
fn can_serve<P: DispatchPolicy>(
    database: &DatabaseState<P>,
    index: usize,
    work: &Work,
    now_us: u64,
) -> bool {
    if database.instances[index].is_unconfirmed(now_us) {
        return false;
    }
    let Some(position) = database.position_of(index) else { return false };
    if work.request.min_position.is_some_and(|min_position| position < min_position) {
        return false;
    }
    let current_until_us = database.history.current_until_us(position);
    current_until_us.is_some_and(|until_us| now_us - until_us <= work.request.max_staleness_us)
}

/// Runs a request on a connection.
fn run<P: DispatchPolicy>(tables: &mut Tables<P>, key: WorkItemKey, connection_key: ConnectionKey) {
    let Some(work) = tables.works.get_mut(key) else { return };
    let Some(connection) = tables.connections.get_mut(connection_key) else { return };
    let Some(database) = tables.databases.get_mut(&work.request.database) else { return };
    work.state = WorkState::Running {
        connection: connection_key,
        started_us: tables.now_us,
        cancelled: false,
    };
    connection.state = ConnectionState::Running(key);
    database.active += 1;
    database.instances[usize::from(connection.instance.index)].running += 1;
    tables.actions.push(Action::Execute {
        connection: connection_key,
        work: key,
        payload: work.request.payload.clone(),
        max_answer_bytes: database.service.max_answer_bytes,
    });
}
