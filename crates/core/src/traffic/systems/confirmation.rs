//! Owner side: confirmation of responses and positions by probe results.

use super::finishing;
use crate::arena::Arena;
use crate::message::Outcome;
use crate::traffic::DispatchPolicy;
use crate::traffic::database_state::DatabaseState;
use crate::traffic::tables::Tables;
use crate::traffic::work_item::{HeldResponse, WorkItem, WorkItemState};
use crate::{DatabaseId, Position, WorkItemKey};

/// A confirmed response, with the position that later reads of its session must include.
type Release = (WorkItemKey, Position);

/// Releases the held responses and waiting reads that the probe results so far confirm.
pub(crate) fn confirm<P: DispatchPolicy>(tables: &mut Tables<P>) {
    let ids: Vec<DatabaseId> = tables.databases.keys().copied().collect();
    for id in ids {
        let Some(database) = tables.databases.get_mut(&id) else { continue };
        let releases = confirm_database(database, &mut tables.work_items);
        for (key, position) in releases {
            release(tables, key, position);
        }
    }
}

fn confirm_database<P: DispatchPolicy>(
    database: &mut DatabaseState<P>,
    work_items: &mut Arena<WorkItemKey, WorkItem>,
) -> Vec<Release> {
    let mut releases = Vec::new();
    let Some((primary_sent_us, position)) = database.primary_report() else { return releases };
    record_positions(database, work_items, primary_sent_us, position);
    if let Some(confirmed_us) = database.term_confirmed_us() {
        if database.confirmed_until_us < Some(confirmed_us) {
            database.confirmed_until_us = Some(confirmed_us);
            database.position_history.record(confirmed_us, position);
        }
        database.resumed_us = database.resumed_us.filter(|resumed_us| *resumed_us > confirmed_us);
        confirm_terms(database, work_items, confirmed_us, position, &mut releases);
        assign_min_positions(database, work_items, confirmed_us, position);
    }
    confirm_replication(database, work_items, &mut releases);
    releases
}

/// Records the primary's position for responses that were received before its probe was sent.
fn record_positions<P: DispatchPolicy>(
    database: &mut DatabaseState<P>,
    work_items: &mut Arena<WorkItemKey, WorkItem>,
    primary_sent_us: u64,
    position: Position,
) {
    while let Some(&key) = database.awaiting_primary.front() {
        if let Some(held) = held_response(work_items, key) {
            if held.responded_us > primary_sent_us {
                return;
            }
            held.position = Some(position);
            database.awaiting_replicas.push_back(key);
        }
        database.awaiting_primary.pop_front();
    }
}

fn confirm_terms<P: DispatchPolicy>(
    database: &mut DatabaseState<P>,
    work_items: &mut Arena<WorkItemKey, WorkItem>,
    confirmed_us: u64,
    position: Position,
    releases: &mut Vec<Release>,
) {
    while let Some(&key) = database.awaiting_term.front() {
        if let Some(held) = held_response(work_items, key) {
            if held.responded_us > confirmed_us {
                return;
            }
            releases.push((key, position));
        }
        database.awaiting_term.pop_front();
    }
}

fn confirm_replication<P: DispatchPolicy>(
    database: &mut DatabaseState<P>,
    work_items: &mut Arena<WorkItemKey, WorkItem>,
    releases: &mut Vec<Release>,
) {
    while let Some(&key) = database.awaiting_replicas.front() {
        if let Some(held) = held_response(work_items, key) {
            let (responded_us, position) = (held.responded_us, held.position.unwrap_or_default());
            if !database.is_replicated(position, responded_us) {
                return;
            }
            releases.push((key, position));
        }
        database.awaiting_replicas.pop_front();
    }
}

/// Assigns reads of new sessions their minimum position, and queues them.
fn assign_min_positions<P: DispatchPolicy>(
    database: &mut DatabaseState<P>,
    work_items: &mut Arena<WorkItemKey, WorkItem>,
    confirmed_us: u64,
    position: Position,
) {
    let queues = &mut database.replica_queues;
    database.awaiting_min_position.retain(|&key| {
        let Some(work) = work_items.get_mut(key) else { return false };
        if work.arrived_us > confirmed_us {
            return true;
        }
        work.request.min_position = Some(position);
        work.state = WorkItemState::Queued;
        queues.push(usize::from(work.request.rank.0), key);
        false
    });
}

fn held_response(
    work_items: &mut Arena<WorkItemKey, WorkItem>,
    key: WorkItemKey,
) -> Option<&mut HeldResponse> {
    match &mut work_items.get_mut(key)?.state {
        WorkItemState::AwaitingConfirmation(held) => Some(held),
        _ => None,
    }
}

/// Sends a confirmed response to the entry proxy.
fn release<P: DispatchPolicy>(tables: &mut Tables<P>, key: WorkItemKey, position: Position) {
    let Some(held) = held_response(&mut tables.work_items, key).cloned() else { return };
    let database = tables.work_items.get(key).map(|work| work.request.database);
    if let Some(database) = database.and_then(|id| tables.databases.get_mut(&id)) {
        database.record_confirmation_time(tables.now_us - held.responded_us);
    }
    if let Some(transaction) = held.transaction {
        finishing::start_idle_timer(tables, transaction);
    }
    let outcome = Outcome::Completed {
        response: held.response,
        status: held.status,
        transaction: held.transaction,
        min_position: Some(position),
        by_replica: false,
    };
    finishing::finish(tables, key, outcome);
}
