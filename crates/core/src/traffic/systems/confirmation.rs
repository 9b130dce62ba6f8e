//! Owner side: confirmation of answers and of positions by probes.

use super::finishing;
use crate::arena::Arena;
use crate::message::Outcome;
use crate::traffic::DispatchPolicy;
use crate::traffic::database_state::DatabaseState;
use crate::traffic::tables::Tables;
use crate::traffic::work::{HeldAnswer, Work, WorkState};
use crate::{DatabaseId, Position, WorkItemKey};

/// An answer that is confirmed, with the position that later reads of its session must include.
type Release = (WorkItemKey, Position);

/// Releases the answers and reads that the probes so far confirm.
pub(crate) fn confirm<P: DispatchPolicy>(tables: &mut Tables<P>) {
    let ids: Vec<DatabaseId> = tables.databases.keys().copied().collect();
    for id in ids {
        let Some(database) = tables.databases.get_mut(&id) else { continue };
        let releases = confirm_database(database, &mut tables.works);
        for (key, position) in releases {
            release(tables, key, position);
        }
    }
}

fn confirm_database<P: DispatchPolicy>(
    database: &mut DatabaseState<P>,
    works: &mut Arena<WorkItemKey, Work>,
) -> Vec<Release> {
    let mut releases = Vec::new();
    let Some((primary_sent_us, position)) = database.primary_report() else { return releases };
    record_positions(database, works, primary_sent_us, position);
    if let Some(confirmed_us) = database.term_confirmed_us() {
        if database.confirmed_until_us < Some(confirmed_us) {
            database.confirmed_until_us = Some(confirmed_us);
            database.history.record(confirmed_us, position);
        }
        database.resumed_us = database.resumed_us.filter(|resumed_us| *resumed_us > confirmed_us);
        confirm_terms(database, works, confirmed_us, position, &mut releases);
        assign_min_positions(database, works, confirmed_us, position);
    }
    confirm_replication(database, works, &mut releases);
    releases
}

/// Notes the primary's position for the answers that were given before its probe was sent.
fn record_positions<P: DispatchPolicy>(
    database: &mut DatabaseState<P>,
    works: &mut Arena<WorkItemKey, Work>,
    primary_sent_us: u64,
    position: Position,
) {
    while let Some(&key) = database.awaiting_primary.front() {
        if let Some(held) = held_answer(works, key) {
            if held.answered_us > primary_sent_us {
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
    works: &mut Arena<WorkItemKey, Work>,
    confirmed_us: u64,
    position: Position,
    releases: &mut Vec<Release>,
) {
    while let Some(&key) = database.awaiting_term.front() {
        if let Some(held) = held_answer(works, key) {
            if held.answered_us > confirmed_us {
                return;
            }
            releases.push((key, position));
        }
        database.awaiting_term.pop_front();
    }
}

fn confirm_replication<P: DispatchPolicy>(
    database: &mut DatabaseState<P>,
    works: &mut Arena<WorkItemKey, Work>,
    releases: &mut Vec<Release>,
) {
    while let Some(&key) = database.awaiting_replicas.front() {
        if let Some(held) = held_answer(works, key) {
            let (answered_us, position) = (held.answered_us, held.position.unwrap_or_default());
            if !database.is_replicated(position, answered_us) {
                return;
            }
            releases.push((key, position));
        }
        database.awaiting_replicas.pop_front();
    }
}

/// Gives reads of new sessions the position that they must see, and queues them.
fn assign_min_positions<P: DispatchPolicy>(
    database: &mut DatabaseState<P>,
    works: &mut Arena<WorkItemKey, Work>,
    confirmed_us: u64,
    position: Position,
) {
    let lane = &mut database.replica_lane;
    database.awaiting_min_position.retain(|&key| {
        let Some(work) = works.get_mut(key) else { return false };
        if work.arrived_us > confirmed_us {
            return true;
        }
        work.request.min_position = Some(position);
        work.state = WorkState::Queued;
        lane.push(usize::from(work.request.rank.0), key);
        false
    });
}

fn held_answer(works: &mut Arena<WorkItemKey, Work>, key: WorkItemKey) -> Option<&mut HeldAnswer> {
    match &mut works.get_mut(key)?.state {
        WorkState::AwaitingConfirmation(held) => Some(held),
        _ => None,
    }
}

/// Sends a confirmed answer to the entry proxy.
fn release<P: DispatchPolicy>(tables: &mut Tables<P>, key: WorkItemKey, position: Position) {
    let Some(held) = held_answer(&mut tables.works, key).cloned() else { return };
    let database = tables.works.get(key).map(|work| work.request.database);
    if let Some(database) = database.and_then(|id| tables.databases.get_mut(&id)) {
        database.record_confirmation_time(tables.now_us - held.answered_us);
    }
    if let Some(transaction) = held.transaction {
        finishing::start_idle_timer(tables, transaction);
    }
    let outcome = Outcome::Answered {
        answer: held.answer,
        status: held.status,
        transaction: held.transaction,
        min_position: Some(position),
        by_replica: false,
    };
    finishing::finish(tables, key, outcome);
}
