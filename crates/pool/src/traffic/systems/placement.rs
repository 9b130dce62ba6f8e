//! Sends queued requests to instances and refuses those that cannot be served in time.

use flamingorock_core::Position;

use super::super::replica_set::{PrimaryState, ReplicaSet};
use super::super::request::{Request, Routing};
use super::super::session::Session;
use super::super::tables::{Tables, Timer};
use super::{completion, connections, primary_placement, replica_placement, sending};
use crate::{ConnectionKey, ErrorCode, InstanceKey, ReplicaSetKey, SessionKey};

/// A proxy that has just started uses 1/3 of its share, because connections of dead hosts may still
/// count towards the limit.
const STARTUP_SHARE_DIVISOR: u32 = 3;
/// Time that a read waits for the position of a primary that is not connected.
const POSITION_WAIT_US: u64 = 60_000;
/// Allowance for the difference between the times at which a caller and this proxy consider a read
/// to begin.
const STALENESS_MARGIN_US: u64 = 50_000;

pub fn run(tables: &mut Tables, now_us: u64) {
    for key in tables.replica_sets.keys_where(|set| !set.queue.is_empty()) {
        place_queue(tables, key, now_us);
    }
}

/// Where a request is sent, or why it is not sent yet.
pub enum Placement {
    /// Send it on this idle connection.
    Send { connection: ConnectionKey, min_position: Option<Position> },
    /// Keep it queued.
    Wait,
    /// Keep it queued, and look at it again at this time at the latest.
    WaitUntil { due_us: u64 },
    /// Keep it queued until a statement at the primary finishes.
    WaitForCapacity,
    /// Keep it queued; another connection to this instance would help.
    WaitForConnection(InstanceKey),
    /// Refuse it, because it cannot be served in time.
    Refuse { retry_after_ms: u32, reason: &'static str },
}

fn place_queue(tables: &mut Tables, key: ReplicaSetKey, now_us: u64) {
    let Some(set) = tables.replica_sets.get_mut(key) else { return };
    let mut queued = core::mem::take(&mut set.queue);
    let expected_response_us = now_us + congested_response_time_us(tables, key);
    queued.sort_by_key(|session| queue_order(tables, *session, expected_response_us));
    let mut remaining = Vec::with_capacity(queued.len());
    let mut queued_ahead = 0;
    for session in queued {
        match choose(tables, key, session, now_us) {
            Placement::Send { connection, min_position } => {
                set_min_position(tables, session, min_position);
                sending::assign_connection(tables, session, connection, now_us);
            }
            Placement::Wait => remaining.push(session),
            Placement::WaitUntil { due_us } => {
                tables.timers.add(due_us, Timer::Wakeup);
                remaining.push(session);
            }
            Placement::WaitForCapacity => {
                match retry_after_queue_delay_ms(tables, key, session, queued_ahead, now_us) {
                    None => {
                        queued_ahead += 1;
                        remaining.push(session);
                    }
                    Some(retry_after_ms) => {
                        record_congestion_refusal(tables, key);
                        let reason = "the queue for the primary is longer than the timeout";
                        refuse(tables, session, retry_after_ms, reason, now_us);
                    }
                }
            }
            Placement::WaitForConnection(instance) => {
                remaining.push(session);
                open_if_allowed(tables, instance, now_us);
            }
            Placement::Refuse { retry_after_ms, reason } => {
                if reason == primary_placement::CONGESTED_REASON {
                    record_congestion_refusal(tables, key);
                }
                refuse(tables, session, retry_after_ms, reason, now_us);
            }
        }
    }
    if let Some(set) = tables.replica_sets.get_mut(key) {
        // A refusal may have let its session queue the next statement.
        remaining.append(&mut set.queue);
        set.queue = remaining;
    }
}

/// Returns the delay after which to try again if the requests queued ahead take longer than the
/// request's deadline allows. Only this proxy's queue is known; the measured response times include
/// the load of the other proxies.
fn retry_after_queue_delay_ms(
    tables: &Tables,
    key: ReplicaSetKey,
    session: SessionKey,
    queued_ahead: u64,
    now_us: u64,
) -> Option<u32> {
    let primary = tables.replica_sets.get(key).and_then(|set| set.primary);
    let instance = primary.and_then(|key| tables.instances.get(key))?;
    let request = request(tables, session)?;
    let concurrency =
        u64::from(primary_placement::concurrency_limit(tables, instance, request.rank));
    let rounds = queued_ahead / concurrency + 1;
    let wait_us = rounds * instance.congestion.response_time_us();
    let is_late = now_us + wait_us > request.deadline_us;
    is_late.then(|| primary_placement::to_milliseconds(wait_us / 2))
}

fn record_congestion_refusal(tables: &mut Tables, key: ReplicaSetKey) {
    if let Some(set) = tables.replica_sets.get_mut(key) {
        set.refusal_rate.record_refusal();
    }
}

/// Response time of a congested primary, 0 if it is not congested. If late requests were not sorted
/// behind those that can still meet their target, they would delay these until every request was
/// late.
fn congested_response_time_us(tables: &Tables, key: ReplicaSetKey) -> u64 {
    let primary = tables.replica_sets.get(key).and_then(|set| set.primary);
    primary
        .and_then(|key| tables.instances.get(key))
        .filter(|instance| instance.congestion.is_congested())
        .map_or(0, |instance| instance.congestion.response_time_us())
}

/// Sort key that puts requests that can still meet their target first, by rank and then by target.
/// `expected_response_us` is when a request sent now would get its response.
fn queue_order(tables: &Tables, key: SessionKey, expected_response_us: u64) -> (bool, u8, u64) {
    match request(tables, key) {
        Some(request) => {
            (request.target_us < expected_response_us, request.rank, request.target_us)
        }
        None => (true, u8::MAX, u64::MAX),
    }
}

fn request(tables: &Tables, key: SessionKey) -> Option<&Request> {
    tables.sessions.get(key)?.request.as_ref()
}

fn set_min_position(tables: &mut Tables, key: SessionKey, min_position: Option<Position>) {
    if let Some(request) = tables.sessions.get_mut(key).and_then(|row| row.request.as_mut()) {
        request.min_position = min_position;
    }
}

fn choose(tables: &mut Tables, key: ReplicaSetKey, session: SessionKey, now_us: u64) -> Placement {
    let Some(row) = tables.sessions.get(session) else { return Placement::Wait };
    let Some(request) = &row.request else { return Placement::Wait };
    if now_us < request.not_before_us {
        let due_us = request.not_before_us;
        tables.timers.add(due_us, Timer::Wakeup);
        return Placement::Wait;
    }
    let Some(set) = tables.replica_sets.get(key) else { return Placement::Wait };
    match request.routing {
        Routing::Primary => primary_placement::choose(tables, set, row, request, now_us),
        Routing::AnyFresh { max_staleness_us, own_writes } => {
            let read_time_us = read_time_us(max_staleness_us, now_us);
            match replica_placement::minimum_position(set, row, read_time_us, own_writes) {
                Some(position)
                    if !request.prefers_primary || set.state != PrimaryState::Serving =>
                {
                    // The session's own commits must be covered as well.
                    let commit_us = if own_writes { row.commit_us } else { 0 };
                    let read_time_us = read_time_us.max(commit_us);
                    replica_placement::choose(
                        tables,
                        set,
                        row,
                        request,
                        position,
                        read_time_us,
                        now_us,
                    )
                }
                Some(_) => primary_placement::choose(tables, set, row, request, now_us),
                None => without_position(tables, set, row, request, now_us),
            }
        }
    }
}

/// Places a read for which no position of the primary is known. A connection to the primary is
/// opened for it only after a moment, in which another proxy may share the position: after a power
/// loss of a large fleet all proxies lack the positions, and a primary has no place for each.
fn without_position(
    tables: &Tables,
    set: &ReplicaSet,
    session: &Session,
    request: &Request,
    now_us: u64,
) -> Placement {
    let placement = primary_placement::choose(tables, set, session, request, now_us);
    let is_scarce = set.min_connections == 0;
    match placement {
        Placement::WaitForConnection(_) if is_scarce => {
            let due_us = request.arrived_us + POSITION_WAIT_US;
            if now_us < due_us { Placement::WaitUntil { due_us } } else { placement }
        }
        placement => placement,
    }
}

/// Time before which every acknowledged commit must be visible to a read that begins now.
pub fn read_time_us(max_staleness_us: u64, now_us: u64) -> u64 {
    (now_us + STALENESS_MARGIN_US).saturating_sub(max_staleness_us)
}

/// Opens a connection if this proxy's share allows another one.
fn open_if_allowed(tables: &mut Tables, key: InstanceKey, now_us: u64) {
    let Some(instance) = tables.instances.get(key) else { return };
    let Some(set) = tables.replica_sets.get(instance.replica_set) else { return };
    let allowed = match tables.has_just_started(now_us) {
        true => set.connections_share.div_ceil(STARTUP_SHARE_DIVISOR) as usize,
        false => set.connections_share.max(2) as usize,
    };
    if instance.connections.len() < allowed && tables.opening_connections(instance) == 0 {
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
        session.mark_rolled_back();
    }
    completion::fail_request(
        tables,
        key,
        None,
        ErrorCode::Busy,
        reason,
        Some(retry_after_ms),
        now_us,
    );
}
