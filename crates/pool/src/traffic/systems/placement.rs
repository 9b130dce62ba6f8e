//! Places waiting requests at instances, and refuses those that cannot be served.

use flamingorock_core::Position;

use super::super::instance::Instance;
use super::super::replica_set::{PrimaryState, ReplicaSet};
use super::super::request::{Need, Request};
use super::super::session::Session;
use super::super::tables::{Due, Tables};
use super::{connections, ending, sending};
use crate::{ConnectionKey, ErrorCode, InstanceKey, ReplicaSetKey, SessionKey};

/// Allowance for the distance between a caller's clock reading and this proxy's.
const STALENESS_MARGIN_US: u64 = 50_000;
/// Wait after which a stale read that finds no replica free may use the primary.
const SPILL_AFTER_US: u64 = 15_000;
/// Rank from which work makes way at a congested primary.
const YIELDING_RANK: u8 = 2;
/// Time after which callers may try again whose work made way.
const CONGESTED_RETRY_MS: u32 = 500;
/// Silence of a replica during which its lag is taken to be as last seen.
const UNHEARD_US: u64 = 150_000;
/// Allowance for the spread of lags.
const LAG_MARGIN_US: u64 = 10_000;
/// Time after which callers may try again that this host cannot serve; another one may at once.
const ELSEWHERE_RETRY_MS: u32 = 10;

pub fn run(tables: &mut Tables, now_us: u64) {
    for key in tables.replica_sets.keys_where(|set| !set.waiting.is_empty()) {
        place_set(tables, key, now_us);
    }
}

/// Where a request goes now.
enum Place {
    /// To an instance, over an idle connection.
    On { connection: ConnectionKey, min_position: Option<Position> },
    /// Nowhere yet.
    Wait,
    /// Nowhere yet; one more connection to an instance would help.
    WaitForConnection(InstanceKey),
    /// Nowhere before its timeout.
    Refuse { retry_after_ms: u32, reason: &'static str },
}

fn place_set(tables: &mut Tables, key: ReplicaSetKey, now_us: u64) {
    let Some(set) = tables.replica_sets.get_mut(key) else { return };
    let mut waiting = core::mem::take(&mut set.waiting);
    let answered_us = now_us + queueing_us(tables, key);
    waiting.sort_by_key(|session| order(tables, *session, answered_us));
    let mut left = Vec::with_capacity(waiting.len());
    for session in waiting {
        match place(tables, key, session, now_us) {
            Place::On { connection, min_position } => {
                set_position(tables, session, min_position);
                sending::start_on(tables, session, connection, now_us);
            }
            Place::Wait => left.push(session),
            Place::WaitForConnection(instance) => {
                left.push(session);
                open_if_allowed(tables, instance, now_us);
            }
            Place::Refuse { retry_after_ms, reason } => {
                refuse(tables, session, retry_after_ms, reason, now_us);
            }
        }
    }
    if let Some(set) = tables.replica_sets.get_mut(key) {
        // Refusals may have let sessions queue their next statement meanwhile.
        left.append(&mut set.waiting);
        set.waiting = left;
    }
}

/// Answer time of a congested primary. What would be answered after its target otherwise takes the
/// place of what is still in time, until everything is late.
fn queueing_us(tables: &Tables, key: ReplicaSetKey) -> u64 {
    let primary = tables.replica_sets.get(key).and_then(|set| set.primary);
    primary
        .and_then(|key| tables.instances.get(key))
        .filter(|instance| instance.congestion.is_congested())
        .map_or(0, |instance| instance.congestion.answer_us())
}

/// Requests that can still meet their target come first, by rank, then by target. `answered_us` is
/// when one that is sent now is answered.
fn order(tables: &Tables, key: SessionKey, answered_us: u64) -> (bool, u8, u64) {
    match request(tables, key) {
        Some(request) => (request.target_us < answered_us, request.rank, request.target_us),
        None => (true, u8::MAX, u64::MAX),
    }
}

fn request(tables: &Tables, key: SessionKey) -> Option<&Request> {
    tables.sessions.get(key)?.request.as_ref()
}

fn set_position(tables: &mut Tables, key: SessionKey, min_position: Option<Position>) {
    if let Some(request) = tables.sessions.get_mut(key).and_then(|row| row.request.as_mut()) {
        request.min_position = min_position;
    }
}

fn place(tables: &mut Tables, key: ReplicaSetKey, session: SessionKey, now_us: u64) -> Place {
    let Some(row) = tables.sessions.get(session) else { return Place::Wait };
    let Some(request) = &row.request else { return Place::Wait };
    if now_us < request.not_before_us {
        let due_us = request.not_before_us;
        tables.due.add(due_us, Due::Systems);
        return Place::Wait;
    }
    let Some(set) = tables.replica_sets.get(key) else { return Place::Wait };
    match request.need {
        Need::Primary => at_primary(tables, set, row, request, now_us),
        Need::Fresh { max_staleness_us, own_writes } => {
            let since_us = (now_us + STALENESS_MARGIN_US).saturating_sub(max_staleness_us);
            match required_position(set, row, since_us, own_writes) {
                Some(position) if !request.prefers_primary || !can_serve(set) => {
                    // The session's own commits must be covered as well.
                    let own_us = if own_writes { row.token_us } else { 0 };
                    let since_us = since_us.max(own_us);
                    at_replica(tables, set, row, request, position, since_us, now_us)
                }
                _ => at_primary(tables, set, row, request, now_us),
            }
        }
    }
}

/// Whether the primary takes statements.
fn can_serve(set: &ReplicaSet) -> bool {
    set.state == PrimaryState::Serving
}

/// Position that a replica's log must have for this read, `None` if none is known.
fn required_position(
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

fn at_primary(
    tables: &Tables,
    set: &ReplicaSet,
    session: &Session,
    request: &Request,
    now_us: u64,
) -> Place {
    match set.state {
        PrimaryState::Unknown => return Place::Wait,
        PrimaryState::Elsewhere => {
            return Place::Refuse {
                retry_after_ms: ELSEWHERE_RETRY_MS,
                reason: "this proxy cannot reach the primary; others can",
            };
        }
        PrimaryState::Held { expected_us, .. } | PrimaryState::Lost { expected_us } => {
            return await_primary(request, expected_us, now_us);
        }
        PrimaryState::Serving => {}
    }
    if !tables.config.permit.holds(now_us) {
        if tables.config.permit.until_us() == 0 {
            return Place::Wait;
        }
        return Place::Refuse {
            retry_after_ms: ELSEWHERE_RETRY_MS,
            reason: "this proxy has lost contact with the others",
        };
    }
    let Some(key) = set.primary else { return Place::Wait };
    match yielding(tables, key, request, now_us) {
        Yield::No => at_instance(tables, key, session, request, now_us),
        Yield::Wait => Place::Wait,
        Yield::Refuse => Place::Refuse {
            retry_after_ms: CONGESTED_RETRY_MS,
            reason: "the primary is congested with more urgent work",
        },
    }
}

/// Whether a request makes way for others at a congested primary.
enum Yield {
    No,
    Wait,
    Refuse,
}

/// Answers the load of a primary that must serve all reads because its replicas are far behind. It
/// serves in the order of arrival, so that the least urgent work of one proxy would delay the urgent
/// work of all others: such work waits a quarter of its target for the congestion to end and is
/// refused then. Other work but the most urgent is refused once it can no longer be answered within
/// its target, because what is still in time comes first and the rest would wait for its timeout.
fn yielding(tables: &Tables, key: InstanceKey, request: &Request, now_us: u64) -> Yield {
    let Some(instance) = tables.instances.get(key) else { return Yield::No };
    if !instance.congestion.is_congested() || request.rank == 0 {
        return Yield::No;
    }
    if request.rank < YIELDING_RANK {
        let answered_us = now_us + instance.congestion.answer_us();
        return if answered_us > request.target_us { Yield::Refuse } else { Yield::No };
    }
    let target_us = request.target_us.saturating_sub(request.arrived_us);
    let is_patient = now_us <= request.arrived_us + target_us / 4;
    if is_patient { Yield::Wait } else { Yield::Refuse }
}

/// Waits for the next primary, unless the request's time ends before.
fn await_primary(request: &Request, expected_us: u64, now_us: u64) -> Place {
    if expected_us <= request.deadline_us {
        return Place::Wait;
    }
    Place::Refuse {
        retry_after_ms: milliseconds(expected_us.saturating_sub(now_us)),
        reason: "the primary is away and no other one will serve in time",
    }
}

fn milliseconds(span_us: u64) -> u32 {
    u32::try_from(span_us.div_ceil(1000)).unwrap_or(u32::MAX)
}

/// An idle connection of one instance, if it has room for this rank.
fn at_instance(
    tables: &Tables,
    key: InstanceKey,
    session: &Session,
    request: &Request,
    now_us: u64,
) -> Place {
    let Some(instance) = tables.instances.get(key) else { return Place::Wait };
    if now_us < instance.refusing_until_us
        || tables.running(instance) >= running_limit(tables, instance, request.rank)
    {
        return Place::Wait;
    }
    match tables.idle_connection(key, &session.values) {
        Some(connection) => Place::On { connection, min_position: None },
        None if instance.is_lost => Place::Wait,
        None => Place::WaitForConnection(key),
    }
}

/// Statements that this proxy runs at an instance at a time: its share of twice the slots, so that
/// slots stay busy while answers travel, and one more for the most urgent rank. What waits beyond
/// that waits here, in the order of ranks, and not in the instance's queue.
fn running_limit(tables: &Tables, instance: &Instance, rank: u8) -> u32 {
    let proxies = tables.view.proxies.max(1);
    let share = (instance.slots * 2).div_ceil(proxies).max(1);
    share + u32::from(rank == 0)
}

/// Why an instance is not used for a read.
#[derive(PartialEq)]
enum Fitness {
    Fits,
    Busy,
    Unfit,
}

fn at_replica(
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
    match at_primary(tables, set, session, request, now_us) {
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
fn is_fresh(
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
    let Some(covered_us) = set.positions.covered_until_us(seen) else { return false };
    let lag_us = seen_us.saturating_sub(covered_us);
    // Lags vary, and a replica that was not heard lately may have stopped receiving.
    let silent_us = now_us.saturating_sub(seen_us).saturating_sub(UNHEARD_US);
    let horizon_us = now_us.saturating_sub(lag_us + lag_us / 2 + silent_us + LAG_MARGIN_US);
    horizon_us >= since_us
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

/// Opens a connection if the share of this proxy allows one more.
fn open_if_allowed(tables: &mut Tables, key: InstanceKey, now_us: u64) {
    let Some(instance) = tables.instances.get(key) else { return };
    let Some(set) = tables.replica_sets.get(instance.replica_set) else { return };
    let allowed = set.connections_share.max(2) as usize;
    if instance.connections.len() < allowed && tables.opening(instance) == 0 {
        connections::open(tables, key, now_us);
    }
}

fn refuse(
    tables: &mut Tables,
    key: SessionKey,
    retry_after_ms: u32,
    reason: &'static str,
    now_us: u64,
) {
    if let Some(session) = tables.sessions.get_mut(key) {
        session.leave_transaction();
    }
    ending::fail(tables, key, None, ErrorCode::Busy, reason, Some(retry_after_ms), now_us);
}
