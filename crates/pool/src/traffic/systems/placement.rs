//! Places waiting requests at instances, and refuses those that cannot be served.

use flamingorock_core::Position;

use super::super::replica_set::PrimaryState;
use super::super::request::{Need, Request};
use super::super::tables::{Due, Tables};
use super::{connections, ending, primary_choice, replica_choice, sending};
use crate::{ConnectionKey, ErrorCode, InstanceKey, ReplicaSetKey, SessionKey};

/// Time for which an instance counts the connections of a host that has lost power. The whole fleet may
/// have: until then each proxy takes a part of its share only, so that none is left without a place.
const LINGER_US: u64 = 3_000_000;
/// A proxy that has just started takes one in this many of its share: the dead may hold the others.
const STARTING_PART: u32 = 3;
/// Allowance for the distance between a caller's clock reading and this proxy's.
const STALENESS_MARGIN_US: u64 = 50_000;

pub fn run(tables: &mut Tables, now_us: u64) {
    for key in tables.replica_sets.keys_where(|set| !set.waiting.is_empty()) {
        place_set(tables, key, now_us);
    }
}

/// Where a request goes now.
pub enum Place {
    /// To an instance, over an idle connection.
    On { connection: ConnectionKey, min_position: Option<Position> },
    /// Nowhere yet.
    Wait,
    /// Nowhere until a statement at the primary ends.
    WaitForRoom,
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
    let mut ahead = 0;
    for session in waiting {
        match place(tables, key, session, now_us) {
            Place::On { connection, min_position } => {
                set_position(tables, session, min_position);
                sending::start_on(tables, session, connection, now_us);
            }
            Place::Wait => left.push(session),
            Place::WaitForRoom => match queue_outlasts(tables, key, session, ahead, now_us) {
                None => {
                    ahead += 1;
                    left.push(session);
                }
                Some(retry_after_ms) => {
                    note_turned_away(tables, key);
                    let reason = "the queue for the primary is longer than the timeout";
                    refuse(tables, session, retry_after_ms, reason, now_us);
                }
            },
            Place::WaitForConnection(instance) => {
                left.push(session);
                open_if_allowed(tables, instance, now_us);
            }
            Place::Refuse { retry_after_ms, reason } => {
                if reason == primary_choice::CONGESTED {
                    note_turned_away(tables, key);
                }
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

/// When to try again, if the statements that wait before a request for the primary take longer than the
/// request has. Only this proxy's queue is known; the answer times show what the others add.
fn queue_outlasts(
    tables: &Tables,
    key: ReplicaSetKey,
    session: SessionKey,
    ahead: u64,
    now_us: u64,
) -> Option<u32> {
    let primary = tables.replica_sets.get(key).and_then(|set| set.primary);
    let instance = primary.and_then(|key| tables.instances.get(key))?;
    let request = request(tables, session)?;
    let at_a_time = u64::from(primary_choice::running_limit(tables, instance, request.rank));
    let rounds = ahead / at_a_time + 1;
    let wait_us = rounds * instance.congestion.answer_us();
    let is_late = now_us + wait_us > request.deadline_us;
    is_late.then(|| primary_choice::milliseconds(wait_us / 2))
}

fn note_turned_away(tables: &mut Tables, key: ReplicaSetKey) {
    if let Some(set) = tables.replica_sets.get_mut(key) {
        set.turned_away.note_refused();
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
        Need::Primary => primary_choice::choose(tables, set, row, request, now_us),
        Need::Fresh { max_staleness_us, own_writes } => {
            let since_us = since_us(max_staleness_us, now_us);
            match replica_choice::required_position(set, row, since_us, own_writes) {
                Some(position)
                    if !request.prefers_primary || set.state != PrimaryState::Serving =>
                {
                    // The session's own commits must be covered as well.
                    let own_us = if own_writes { row.token_us } else { 0 };
                    let since_us = since_us.max(own_us);
                    replica_choice::choose(tables, set, row, request, position, since_us, now_us)
                }
                _ => primary_choice::choose(tables, set, row, request, now_us),
            }
        }
    }
}

/// Time before which every acknowledged commit must be visible to a read that begins now.
pub fn since_us(max_staleness_us: u64, now_us: u64) -> u64 {
    (now_us + STALENESS_MARGIN_US).saturating_sub(max_staleness_us)
}

/// Opens a connection if the share of this proxy allows one more.
fn open_if_allowed(tables: &mut Tables, key: InstanceKey, now_us: u64) {
    let Some(instance) = tables.instances.get(key) else { return };
    let Some(set) = tables.replica_sets.get(instance.replica_set) else { return };
    let allowed = match now_us < tables.started_us + LINGER_US {
        true => set.connections_share.div_ceil(STARTING_PART) as usize,
        false => set.connections_share.max(2) as usize,
    };
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
