//! Places statements at the primary, or refuses those that it will not serve in time.

use super::super::instance::Instance;
use super::super::replica_set::{PrimaryState, ReplicaSet};
use super::super::request::Request;
use super::super::session::Session;
use super::super::tables::Tables;
use super::placement::Place;
use crate::InstanceKey;

/// Time after which callers may try again that this host cannot serve; another one may at once.
const ELSEWHERE_RETRY_MS: u32 = 10;
/// Rank from which work makes way at a congested primary.
const YIELDING_RANK: u8 = 2;
/// Reason of a refusal for work that makes way.
pub const CONGESTED: &str = "the primary is congested with more urgent work";
/// Time after which callers may try again whose work made way.
const CONGESTED_RETRY_MS: u32 = 500;

/// Where a statement goes that needs the primary.
pub fn choose(
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
    if !tables.config.permit.is_valid(now_us) {
        if tables.config.permit.expires_us() == 0 {
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
        Yield::Refuse => Place::Refuse { retry_after_ms: CONGESTED_RETRY_MS, reason: CONGESTED },
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

pub fn milliseconds(span_us: u64) -> u32 {
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
    if now_us < instance.refusing_until_us {
        return Place::Wait;
    }
    if tables.running(instance) >= running_limit(tables, instance, request.rank) {
        return Place::WaitForRoom;
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
pub fn running_limit(tables: &Tables, instance: &Instance, rank: u8) -> u32 {
    let proxies = tables.view.proxies.max(1);
    let share = (instance.slots * 2).div_ceil(proxies).max(1);
    share + u32::from(rank == 0)
}
