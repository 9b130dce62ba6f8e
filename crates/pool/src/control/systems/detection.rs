//! Decides whether a primary must be replaced.

use bytes::Bytes;
use flamingorock_core::Position;

use super::super::StateChange;
use super::super::failover_kind::FailoverKind;
use super::super::known_primary::KnownPrimary;
use super::super::replica_set_state::ReplicaSetState;
use super::super::tables::{Tables, display_name};
use super::{claims, position_samples, replica_lag};

/// Another proxy's contact with the primary counts only if it is at least this much later than the
/// time since which this proxy cannot reach the primary.
const EVIDENCE_MARGIN_US: u64 = 30_000;
/// Time without a known primary after which an instance is promoted.
const UNKNOWN_PRIMARY_US: u64 = 2_500_000;
/// Time without a store entry after which a working primary is replaced.
const MISSING_ENTRY_US: u64 = 2_600_000;

pub fn primary_reached(
    tables: &mut Tables,
    name: &Bytes,
    instance: &Bytes,
    at_us: u64,
    position: Option<Position>,
    now_us: u64,
) {
    let Some(set) = tables.replica_sets.get_mut(name) else { return };
    if set.primary().map(|(primary, _)| primary) != Some(instance) {
        return;
    }
    set.primary_seen_us = set.primary_seen_us.max(at_us);
    set.last_position = position.or(set.last_position);
    if set.unreachable_since_us.take().is_some() {
        set.claim_due_us = None;
        tables.changes.push(StateChange::PrimaryRegained {
            replica_set: display_name(name),
            instance: display_name(instance),
        });
        tables.is_view_outdated = true;
        tables.is_heartbeat_urgent = true;
    }
    if let Some(position) = position {
        position_samples::observed(tables, name, at_us, position, now_us);
    }
}

pub fn primary_unreachable(tables: &mut Tables, name: &Bytes, instance: &Bytes, since_us: u64) {
    let Some(set) = tables.replica_sets.get_mut(name) else { return };
    if set.primary().map(|(primary, _)| primary) != Some(instance)
        || set.unreachable_since_us.is_some()
    {
        return;
    }
    set.unreachable_since_us = Some(since_us);
    tables.changes.push(StateChange::PrimaryLost {
        replica_set: display_name(name),
        instance: display_name(instance),
    });
    tables.is_view_outdated = true;
    tables.is_heartbeat_urgent = true;
}

/// What to do about a primary.
enum Decision {
    /// Keep it.
    Keep,
    /// Keep it, although this proxy cannot reach it: other proxies can.
    ReachableByOthers,
    /// Replace it.
    Replace { kind: FailoverKind, reason: &'static str },
}

pub fn run(tables: &mut Tables, now_us: u64) {
    if !tables.mirror.is_complete || tables.stopping.is_some() {
        return;
    }
    let names: Vec<Bytes> = tables.configured_sets().cloned().collect();
    for name in names {
        match decide(tables, &name, now_us) {
            Decision::Keep | Decision::ReachableByOthers => {
                // While a failover is in progress, `claim_due_us` is for the replacement of an
                // abandoned claim.
                if let Some(set) =
                    tables.replica_sets.get_mut(&name).filter(|set| !set.is_replacing())
                {
                    set.claim_due_us = None;
                }
            }
            Decision::Replace { kind, reason } => {
                claims::claim_in_turn(tables, &name, kind, reason, now_us);
            }
        }
    }
}

fn decide(tables: &Tables, name: &Bytes, now_us: u64) -> Decision {
    let Some(set) = tables.replica_sets.get(name) else { return Decision::Keep };
    if set.failover.is_some() || set.is_replacing() || set.instances.is_empty() {
        return Decision::Keep;
    }
    match &set.known_primary {
        KnownPrimary::Unknown { since_us } if now_us < since_us + UNKNOWN_PRIMARY_US => {
            Decision::Keep
        }
        KnownPrimary::Unknown { .. } => Decision::Replace {
            kind: FailoverKind::PrimaryUnreachable,
            reason: "no instance is the primary",
        },
        KnownPrimary::Leader { instance, .. } => match set.unreachable_since_us {
            Some(since_us) => decide_unreachable(tables, name, since_us, now_us),
            None => match decide_leaving(set, instance, now_us) {
                Decision::Keep => decide_replica_lag(tables, set, now_us),
                decision => decision,
            },
        },
    }
}

/// Replaces a working primary that is about to stop or whose store entry stays missing.
fn decide_leaving(set: &ReplicaSetState, instance: &Bytes, now_us: u64) -> Decision {
    let has_successor = set
        .instances
        .iter()
        .any(|(id, row)| id != instance && !row.entry.is_leaving && row.missing_since_us.is_none());
    let is_leaving = match set.instances.get(instance) {
        Some(row) => {
            row.entry.is_leaving
                || row
                    .missing_since_us
                    .is_some_and(|since_us| now_us >= since_us + MISSING_ENTRY_US)
        }
        None => false,
    };
    match is_leaving && has_successor {
        true => Decision::Replace {
            kind: FailoverKind::PrimaryLeaving,
            reason: "the primary is leaving",
        },
        false => Decision::Keep,
    }
}

/// Replaces a working primary that serves all reads alone because its replicas lag far behind.
fn decide_replica_lag(tables: &Tables, set: &ReplicaSetState, now_us: u64) -> Decision {
    match replica_lag::requires_failover(set, now_us) && !tables.mirror.is_store_unreachable {
        true => Decision::Replace {
            kind: FailoverKind::ReplicasLagging,
            reason: "its replicas lag far behind",
        },
        false => Decision::Keep,
    }
}

/// Replaces a primary that neither this proxy nor any proxy in contact can reach.
fn decide_unreachable(tables: &Tables, name: &Bytes, since_us: u64, now_us: u64) -> Decision {
    for (_, member) in tables.members.iter().filter(|(_, member)| member.is_in_contact(now_us)) {
        let Some(received) = member.report(name) else {
            if now_us < since_us + REPORT_PATIENCE_US {
                return Decision::Keep;
            }
            continue;
        };
        if received.report.is_primary_unreachable {
            continue;
        }
        if received.primary_seen_us() > since_us + EVIDENCE_MARGIN_US {
            return Decision::ReachableByOthers;
        }
        if received.received_us < since_us + EVIDENCE_MARGIN_US + PEER_REPORT_US {
            // The member has not reported yet whether it reaches the primary.
            return Decision::Keep;
        }
    }
    Decision::Replace {
        kind: FailoverKind::PrimaryUnreachable,
        reason: "no proxy reaches the primary",
    }
}

/// Time within which another proxy reports whether it reaches an unreachable primary.
const PEER_REPORT_US: u64 = 60_000;
/// Time to wait for the report of a proxy in contact that has not reported on the replica set at
/// all: it may not know the set.
const REPORT_PATIENCE_US: u64 = 900_000;

/// Whether other proxies reach a primary that this proxy cannot reach.
pub fn is_reachable_by_others(tables: &Tables, name: &Bytes, now_us: u64) -> bool {
    matches!(decide(tables, name, now_us), Decision::ReachableByOthers)
}
