//! Places reads at replicas whose logs are fresh enough.

use flamingorock_core::Position;

use super::super::instance::Instance;
use super::super::replica_set::ReplicaSet;
use super::super::request::Request;
use super::super::session::Session;
use super::super::tables::Tables;
use super::placement::Place;
use super::primary_choice::{self, running_limit};
use crate::InstanceKey;

/// Wait after which a stale read that finds no replica free may use the primary.
const SPILL_AFTER_US: u64 = 15_000;
/// Silence of a replica during which its lag is taken to be as last seen.
const UNHEARD_US: u64 = 150_000;
/// Allowance for the spread of lags.
const LAG_MARGIN_US: u64 = 10_000;

/// Position that a replica's log must have for this read, `None` if none is known.
pub fn required_position(
    set: &ReplicaSet,
    session: &Session,
    since_us: u64,
    own_writes: bool,
) -> Option<Position> {
    let floor = set.positions.covering(since_us)?;
    let Some(token) = session.token.filter(|_| own_writes) else { return Some(floor) };
    // A position of an earlier term may have been rolled back. What the present term began with
    // covers every commit that was kept.
    let own = if token.term < set.term { set.term_start? } else { token };
    Some(floor.max(own))
}

/// Why an instance is not used for a read.
#[derive(PartialEq)]
enum Fitness {
    Fits,
    Busy,
    Unfit,
}

/// Where a read goes that replicas may serve.
pub fn choose(
    tables: &Tables,
    set: &ReplicaSet,
    session: &Session,
    request: &Request,
    position: Position,
    since_us: u64,
    now_us: u64,
) -> Place {
    let mut best: Option<(u64, InstanceKey)> = None;
    let mut has_busy = false;
    for key in set.instances.iter().copied().filter(|key| set.primary != Some(*key)) {
        match fitness(tables, set, key, request, position, since_us, now_us) {
            Fitness::Fits => {
                let cost_us = cost_us(tables, key);
                if best.is_none_or(|(best_us, _)| cost_us < best_us) {
                    best = Some((cost_us, key));
                }
            }
            Fitness::Busy => has_busy = true,
            Fitness::Unfit => {}
        }
    }
    if let Some((_, key)) = best {
        return on_idle(tables, key, session, position);
    }
    let has_waited = now_us >= request.arrived_us + SPILL_AFTER_US;
    if has_busy && !(has_waited && has_spare(tables, set)) {
        return Place::Wait;
    }
    match primary_choice::choose(tables, set, session, request, now_us) {
        // The primary is away; a replica that is behind may catch up meanwhile.
        Place::Refuse { .. } if has_busy => Place::Wait,
        place => place,
    }
}

fn on_idle(tables: &Tables, key: InstanceKey, session: &Session, position: Position) -> Place {
    match tables.idle_connection(key, &session.values) {
        Some(connection) => Place::On { connection, min_position: Some(position) },
        None => Place::WaitForConnection(key),
    }
}

fn fitness(
    tables: &Tables,
    set: &ReplicaSet,
    key: InstanceKey,
    request: &Request,
    position: Position,
    since_us: u64,
    now_us: u64,
) -> Fitness {
    let Some(instance) = tables.instances.get(key) else { return Fitness::Unfit };
    let is_unusable = instance.is_lost
        || instance.is_leaving
        || instance.is_failing()
        || instance.suspect_since_us.is_some()
        || (request.avoided == Some(key) && request.attempts > 0);
    if is_unusable || !is_fresh(set, instance, position, since_us, now_us) {
        return Fitness::Unfit;
    }
    let is_busy = now_us < instance.refusing_until_us
        || tables.running(instance) >= running_limit(tables, instance, request.rank);
    if is_busy { Fitness::Busy } else { Fitness::Fits }
}

/// Whether a replica's log is likely to have a position that covers the commits before `since_us`:
/// it had the position when last seen, or its lag then was shorter than the read allows.
pub fn is_fresh(
    set: &ReplicaSet,
    instance: &Instance,
    position: Position,
    since_us: u64,
    now_us: u64,
) -> bool {
    let Some((seen_us, seen)) = instance.seen else { return false };
    if seen >= position {
        return true;
    }
    let Some(lag_us) = lag_us(set, instance) else { return false };
    // Lags vary, and a replica that was not heard lately may have stopped receiving.
    let silent_us = now_us.saturating_sub(seen_us).saturating_sub(UNHEARD_US);
    let horizon_us = now_us.saturating_sub(lag_us + lag_us / 2 + silent_us + LAG_MARGIN_US);
    horizon_us >= since_us
}

/// Age of what a replica's log covered when it was last seen.
pub fn lag_us(set: &ReplicaSet, instance: &Instance) -> Option<u64> {
    let (seen_us, seen) = instance.seen?;
    let covered_us = set.positions.covered_until_us(seen)?;
    Some(seen_us.saturating_sub(covered_us))
}

/// Expected time of an answer, which decides between replicas.
fn cost_us(tables: &Tables, key: InstanceKey) -> u64 {
    const FAR_US: u64 = 1_000;
    /// Answer time that is assumed of an instance that has not answered yet.
    const ASSUMED_ANSWER_US: u64 = 1_000;
    let Some(instance) = tables.instances.get(key) else { return u64::MAX };
    let running = u64::from(tables.running(instance));
    let distance_us = if instance.is_near { 0 } else { FAR_US };
    let answer_us = instance.congestion.answer_us().max(ASSUMED_ANSWER_US);
    answer_us * (running + 1) + distance_us
}

/// Whether the primary has so little to do that it may take a read that replicas are too busy for.
fn has_spare(tables: &Tables, set: &ReplicaSet) -> bool {
    let Some(primary) = set.primary.and_then(|key| tables.instances.get(key)) else {
        return false;
    };
    tables.running(primary) == 0
}
