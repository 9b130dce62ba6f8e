//! Places statements at the primary or refuses those that it cannot serve in time.

use super::super::instance::Instance;
use super::super::replica_set::{PrimaryState, ReplicaSet};
use super::super::request::Request;
use super::super::session::Session;
use super::super::tables::Tables;
use super::placement::Placement;
use crate::InstanceKey;

/// Delay suggested to callers that this proxy cannot serve. It is short, because another proxy can
/// serve them at once.
const OTHER_PROXY_RETRY_MS: u32 = 10;
/// Statements of this rank and less urgent ones are shed when the primary is congested.
const SHEDDABLE_RANK: u8 = 2;
/// Reason given when a statement is shed.
pub const CONGESTED_REASON: &str = "the primary is congested with more urgent work";
/// Delay suggested to callers whose statement was shed.
const CONGESTED_RETRY_MS: u32 = 500;

/// Chooses a placement for a statement that needs the primary.
pub fn choose(
    tables: &Tables,
    set: &ReplicaSet,
    session: &Session,
    request: &Request,
    now_us: u64,
) -> Placement {
    match set.state {
        PrimaryState::Unknown => return Placement::Wait,
        PrimaryState::ReachableByOthers => {
            return Placement::Refuse {
                retry_after_ms: OTHER_PROXY_RETRY_MS,
                reason: "this proxy cannot reach the primary; others can",
            };
        }
        PrimaryState::Replacing { expected_us, .. } | PrimaryState::Unreachable { expected_us } => {
            return wait_for_primary(request, expected_us, now_us);
        }
        PrimaryState::Serving => {}
    }
    if !tables.config.permit.is_valid(now_us) {
        if tables.config.permit.expires_us() == 0 {
            return Placement::Wait;
        }
        return Placement::Refuse {
            retry_after_ms: OTHER_PROXY_RETRY_MS,
            reason: "this proxy has lost contact with the others",
        };
    }
    let Some(key) = set.primary else { return Placement::Wait };
    match shedding(tables, key, request, now_us) {
        Shedding::Admit => place_on_primary(tables, key, session, request, now_us),
        Shedding::Delay => Placement::Wait,
        Shedding::Refuse => {
            Placement::Refuse { retry_after_ms: CONGESTED_RETRY_MS, reason: CONGESTED_REASON }
        }
    }
}

/// What load shedding decides for a request at a congested primary.
enum Shedding {
    Admit,
    Delay,
    Refuse,
}

/// Sheds load from a congested primary, for example one that has to serve all reads because its
/// replicas lag far behind.
///
/// An instance serves statements in order of arrival, so the least urgent statements of one proxy
/// would delay the urgent ones of all others. They are held back for a quarter of their target
/// latency and then refused. More urgent statements, except those of rank 0, are refused once they
/// can no longer meet their target: statements that still can go first, so the late ones would only
/// wait for their timeout.
fn shedding(tables: &Tables, key: InstanceKey, request: &Request, now_us: u64) -> Shedding {
    let Some(instance) = tables.instances.get(key) else { return Shedding::Admit };
    if !instance.congestion.is_congested() || request.rank == 0 {
        return Shedding::Admit;
    }
    if request.rank < SHEDDABLE_RANK {
        let expected_response_us = now_us + instance.congestion.response_time_us();
        return if expected_response_us > request.target_us {
            Shedding::Refuse
        } else {
            Shedding::Admit
        };
    }
    let target_us = request.target_us.saturating_sub(request.arrived_us);
    let may_wait = now_us <= request.arrived_us + target_us / 4;
    if may_wait { Shedding::Delay } else { Shedding::Refuse }
}

/// Keeps the request queued for the next primary, unless its deadline is before that.
fn wait_for_primary(request: &Request, expected_us: u64, now_us: u64) -> Placement {
    if expected_us <= request.deadline_us {
        return Placement::Wait;
    }
    Placement::Refuse {
        retry_after_ms: to_milliseconds(expected_us.saturating_sub(now_us)),
        reason: "the primary is away and no other one will serve in time",
    }
}

/// Converts microseconds to milliseconds, rounded up.
pub fn to_milliseconds(duration_us: u64) -> u32 {
    u32::try_from(duration_us.div_ceil(1000)).unwrap_or(u32::MAX)
}

/// Chooses an idle connection to the primary if this proxy may run another statement of the
/// request's rank there.
fn place_on_primary(
    tables: &Tables,
    key: InstanceKey,
    session: &Session,
    request: &Request,
    now_us: u64,
) -> Placement {
    let Some(instance) = tables.instances.get(key) else { return Placement::Wait };
    if now_us < instance.busy_until_us {
        return Placement::Wait;
    }
    if tables.running_statements(instance) >= concurrency_limit(tables, instance, request.rank) {
        return Placement::WaitForCapacity;
    }
    match tables.idle_connection(key, &session.variables) {
        Some(connection) => Placement::Send { connection, min_position: None },
        None if instance.is_unreachable => Placement::Wait,
        None => Placement::WaitForConnection(key),
    }
}

/// Number of statements that this proxy runs on an instance at once: its share of twice the
/// execution slots, which keeps the slots busy while responses are in transit, and one more for the
/// most urgent rank. Further statements wait at the proxy, which orders them by rank, and not in
/// the instance's queue.
pub fn concurrency_limit(tables: &Tables, instance: &Instance, rank: u8) -> u32 {
    let proxies = tables.view.proxies.max(1);
    let share = instance.slots.saturating_mul(2).div_ceil(proxies).max(1);
    share.saturating_add(u32::from(rank == 0))
}
