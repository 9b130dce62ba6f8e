//! Places reads at replicas whose logs are fresh enough.

use flamingorock_core::Position;

use super::super::instance::Instance;
use super::super::replica_set::ReplicaSet;
use super::super::request::Request;
use super::super::session::Session;
use super::super::tables::Tables;
use super::placement::Placement;
use super::primary_placement::{self, concurrency_limit};
use crate::{InstanceKey, rendezvous};

/// Time that a read waits for a busy replica before it may use an idle primary.
const SPILL_AFTER_US: u64 = 15_000;
/// Age up to which the last measured lag of a replica is considered current. Time beyond that is
/// added to the lag.
const LAG_VALIDITY_US: u64 = 150_000;
/// Age from which the position of a replica without connections says nothing about its lag.
pub const OBSERVATION_VALID_US: u64 = 2_000_000;
/// Allowance for variation of the lag.
const LAG_MARGIN_US: u64 = 10_000;

/// Returns the log position that a replica must have reached to serve the read; `None` if no
/// suitable position is known.
pub fn minimum_position(
    set: &ReplicaSet,
    session: &Session,
    read_time_us: u64,
    own_writes: bool,
) -> Option<Position> {
    let floor = set.positions.covering(read_time_us)?;
    let Some(commit) = session.commit_position.filter(|_| own_writes) else { return Some(floor) };
    // A position of an earlier term may have been rolled back. The first position of the current
    // term covers every commit that survived.
    let own_commits = if commit.term < set.term { set.term_start_position? } else { commit };
    Some(floor.max(own_commits))
}

/// Whether an instance may serve a read now.
#[derive(PartialEq)]
enum Eligibility {
    Eligible,
    Busy,
    Ineligible,
}

/// Chooses a placement for a read that replicas may serve.
pub fn choose(
    tables: &Tables,
    set: &ReplicaSet,
    session: &Session,
    request: &Request,
    position: Position,
    read_time_us: u64,
    now_us: u64,
) -> Placement {
    let mut best: Option<((u64, u64), InstanceKey)> = None;
    let mut has_busy = false;
    for key in set.instances.iter().copied().filter(|key| set.primary != Some(*key)) {
        match eligibility(tables, set, key, request, position, read_time_us, now_us) {
            Eligibility::Eligible => {
                let cost = (expected_latency_us(tables, session, key), preference(tables, key));
                if best.is_none_or(|(best_cost, _)| cost < best_cost) {
                    best = Some((cost, key));
                }
            }
            Eligibility::Busy => has_busy = true,
            Eligibility::Ineligible => {}
        }
    }
    if let Some((_, key)) = best {
        return place_on_replica(tables, key, session, position);
    }
    let has_waited = now_us >= request.arrived_us + SPILL_AFTER_US;
    if has_busy && !(has_waited && is_primary_idle(tables, set)) {
        return Placement::Wait;
    }
    match primary_placement::choose(tables, set, session, request, now_us) {
        // The primary cannot take the read, but a fresh replica is only busy and may have capacity
        // soon.
        Placement::Refuse { .. } if has_busy => Placement::Wait,
        placement => placement,
    }
}

fn place_on_replica(
    tables: &Tables,
    key: InstanceKey,
    session: &Session,
    position: Position,
) -> Placement {
    match tables.idle_connection(key, &session.variables) {
        Some(connection) => Placement::Send { connection, min_position: Some(position) },
        None => Placement::WaitForConnection(key),
    }
}

fn eligibility(
    tables: &Tables,
    set: &ReplicaSet,
    key: InstanceKey,
    request: &Request,
    position: Position,
    read_time_us: u64,
    now_us: u64,
) -> Eligibility {
    let Some(instance) = tables.instances.get(key) else { return Eligibility::Ineligible };
    let is_unusable = instance.is_unreachable
        || instance.is_leaving
        || instance.is_failing()
        || instance.suspected_since_us.is_some()
        || (request.avoided_instance == Some(key) && request.attempts > 0);
    if is_unusable || !is_fresh(tables, set, instance, position, read_time_us, now_us) {
        return Eligibility::Ineligible;
    }
    let is_busy = now_us < instance.busy_until_us
        || tables.running_statements(instance) >= concurrency_limit(tables, instance, request.rank);
    if is_busy { Eligibility::Busy } else { Eligibility::Eligible }
}

/// Whether a replica's log probably covers all commits before `read_time_us`: it had reached
/// `position` when last seen, or its lag at that time was short enough.
///
/// A replica that this proxy has not asked lately is taken to be fresh. In a large fleet most
/// proxies have no connection to a given replica, and all their reads would go to the primary. The
/// read carries `position`, so that a replica that is behind refuses it.
pub fn is_fresh(
    tables: &Tables,
    set: &ReplicaSet,
    instance: &Instance,
    position: Position,
    read_time_us: u64,
    now_us: u64,
) -> bool {
    let is_connected = tables.is_connected(instance);
    let Some((seen_us, seen)) = instance.observed_position else { return !is_connected };
    if seen >= position {
        return true;
    }
    if !is_connected && now_us >= seen_us + OBSERVATION_VALID_US {
        return true;
    }
    let Some(lag_us) = lag_us(set, instance) else { return false };
    // The lag may vary, and a replica that does not respond may have stopped receiving.
    let silent_us = match is_connected {
        true => now_us.saturating_sub(seen_us).saturating_sub(LAG_VALIDITY_US),
        false => 0,
    };
    let horizon_us = now_us.saturating_sub(lag_us + lag_us / 2 + silent_us + LAG_MARGIN_US);
    horizon_us >= read_time_us
}

/// Replication lag when the replica last reported its position.
pub fn lag_us(set: &ReplicaSet, instance: &Instance) -> Option<u64> {
    let (seen_us, seen) = instance.observed_position?;
    let covered_us = set.positions.covered_until_us(seen)?;
    Some(seen_us.saturating_sub(covered_us))
}

/// Expected time until a response, by which replicas are compared. It includes the setup of a
/// connection if none is idle: in a large fleet a proxy keeps connections to few instances, and each
/// setup occupies an execution slot.
fn expected_latency_us(tables: &Tables, session: &Session, key: InstanceKey) -> u64 {
    const REMOTE_DATA_CENTRE_US: u64 = 1_000;
    /// Response time assumed for an instance that has not responded yet.
    const DEFAULT_RESPONSE_TIME_US: u64 = 1_000;
    let Some(instance) = tables.instances.get(key) else { return u64::MAX };
    let running = u64::from(tables.running_statements(instance));
    let distance_us = if instance.in_same_data_centre { 0 } else { REMOTE_DATA_CENTRE_US };
    let response_time_us = instance.congestion.response_time_us().max(DEFAULT_RESPONSE_TIME_US);
    let setup_us = match tables.idle_connection(key, &session.variables) {
        Some(_) => 0,
        None => instance.setup_time_us,
    };
    response_time_us * (running + 1) + distance_us + setup_us
}

/// Order of replicas with the same expected latency, which differs between proxies: otherwise all
/// would choose the same one.
fn preference(tables: &Tables, key: InstanceKey) -> u64 {
    let instance = tables.instances.get(key);
    instance.map_or(u64::MAX, |instance| !rendezvous::weight(&tables.config.name, &instance.id))
}

/// Whether this proxy runs nothing at the primary, so that it may take a read for which every fresh
/// replica is busy.
fn is_primary_idle(tables: &Tables, set: &ReplicaSet) -> bool {
    let Some(primary) = set.primary.and_then(|key| tables.instances.get(key)) else {
        return false;
    };
    tables.running_statements(primary) == 0
}
