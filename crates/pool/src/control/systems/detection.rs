//! Decides whether a primary is to be replaced.

use bytes::Bytes;
use flamingorock_core::Position;

use super::super::StateChange;
use super::super::failover_kind::FailoverKind;
use super::super::known_primary::KnownPrimary;
use super::super::replica_set_state::ReplicaSetState;
use super::super::tables::{Tables, text};
use super::{claims, replica_lag};

/// Time by which another proxy's sign of life of the primary must be younger than the loss here.
const YOUNGER_US: u64 = 30_000;
/// Time that a primary stays unknown before one is promoted.
const UNKNOWN_US: u64 = 2_500_000;
/// Time that an instance whose entry is missing has until it is replaced as primary.
const MISSING_US: u64 = 2_600_000;

pub fn heard(
    tables: &mut Tables,
    name: &Bytes,
    instance: &Bytes,
    at_us: u64,
    position: Option<Position>,
) {
    let Some(set) = tables.sets.get_mut(name) else { return };
    if set.primary().map(|(primary, _)| primary) != Some(instance) {
        return;
    }
    set.heard_us = set.heard_us.max(at_us);
    set.last_position = position.or(set.last_position);
    if set.lost_since_us.take().is_some() {
        set.claim_us = None;
        tables.changes.push(StateChange::PrimaryRegained {
            replica_set: text(name),
            instance: text(instance),
        });
        tables.is_changed = true;
        tables.is_urgent = true;
    }
}

pub fn lost(tables: &mut Tables, name: &Bytes, instance: &Bytes, since_us: u64) {
    let Some(set) = tables.sets.get_mut(name) else { return };
    if set.primary().map(|(primary, _)| primary) != Some(instance) || set.lost_since_us.is_some() {
        return;
    }
    set.lost_since_us = Some(since_us);
    tables
        .changes
        .push(StateChange::PrimaryLost { replica_set: text(name), instance: text(instance) });
    tables.is_changed = true;
    tables.is_urgent = true;
}

/// Why a primary is replaced.
enum Verdict {
    /// It stays.
    Keep,
    /// It stays, and this proxy does not reach it while others do.
    Elsewhere,
    /// It is replaced.
    Replace { kind: FailoverKind, reason: &'static str },
}

pub fn run(tables: &mut Tables, now_us: u64) {
    if !tables.mirror.is_complete || tables.stopping.is_some() {
        return;
    }
    let names: Vec<Bytes> = tables.sets.keys().cloned().collect();
    for name in names {
        match judge(tables, &name, now_us) {
            Verdict::Keep | Verdict::Elsewhere => {
                // While a claim holds the set, the time belongs to the succession of its holder.
                if let Some(set) = tables.sets.get_mut(&name).filter(|set| !set.is_held()) {
                    set.claim_us = None;
                }
            }
            Verdict::Replace { kind, reason } => {
                claims::consider(tables, &name, kind, reason, now_us);
            }
        }
    }
}

fn judge(tables: &Tables, name: &Bytes, now_us: u64) -> Verdict {
    let Some(set) = tables.sets.get(name) else { return Verdict::Keep };
    if set.failover.is_some() || set.is_held() || set.instances.is_empty() {
        return Verdict::Keep;
    }
    match &set.known_primary {
        KnownPrimary::Unknown { since_us } if now_us < since_us + UNKNOWN_US => Verdict::Keep,
        KnownPrimary::Unknown { .. } => {
            Verdict::Replace { kind: FailoverKind::PrimaryLost, reason: "no instance leads" }
        }
        KnownPrimary::Leader { instance, .. } => match set.lost_since_us {
            Some(since_us) => judge_lost(tables, name, since_us, now_us),
            None => match judge_leaving(set, instance, now_us) {
                Verdict::Keep => judge_relief(tables, set, now_us),
                verdict => verdict,
            },
        },
    }
}

/// A primary that works is replaced if it is about to stop, or if its entry stays missing.
fn judge_leaving(set: &ReplicaSetState, instance: &Bytes, now_us: u64) -> Verdict {
    let has_successor = set
        .instances
        .iter()
        .any(|(id, row)| id != instance && !row.entry.is_leaving && row.missing_since_us.is_none());
    let is_leaving = match set.instances.get(instance) {
        Some(row) => {
            row.entry.is_leaving
                || row.missing_since_us.is_some_and(|since_us| now_us >= since_us + MISSING_US)
        }
        None => false,
    };
    match is_leaving && has_successor {
        true => Verdict::Replace {
            kind: FailoverKind::PrimaryLeaving,
            reason: "the primary is leaving",
        },
        false => Verdict::Keep,
    }
}

/// A primary that works is replaced if it serves alone because its replicas lag far behind.
fn judge_relief(tables: &Tables, set: &ReplicaSetState, now_us: u64) -> Verdict {
    match replica_lag::requires_failover(set, now_us) && !tables.mirror.is_lost {
        true => Verdict::Replace {
            kind: FailoverKind::ReplicasLagging,
            reason: "its replicas lag far behind",
        },
        false => Verdict::Keep,
    }
}

/// A primary that this proxy has lost is replaced if no proxy in contact reaches it.
fn judge_lost(tables: &Tables, name: &Bytes, since_us: u64, now_us: u64) -> Verdict {
    for (_, member) in tables.members.iter().filter(|(_, member)| member.is_in_contact(now_us)) {
        let Some(report) = member.report(name) else { continue };
        if report.is_lost {
            continue;
        }
        let heard_us = member.heard_us.saturating_sub(u64::from(report.heard_age_ms) * 1000);
        if heard_us > since_us + YOUNGER_US {
            return Verdict::Elsewhere;
        }
        if member.heard_us < since_us + YOUNGER_US + ANSWER_US {
            // Its answer to the question is still to come.
            return Verdict::Keep;
        }
    }
    Verdict::Replace { kind: FailoverKind::PrimaryLost, reason: "no proxy reaches the primary" }
}

/// Time within which another proxy answers the question about a lost primary.
const ANSWER_US: u64 = 60_000;

/// Whether others reach a primary that this proxy has lost.
pub fn is_elsewhere(tables: &Tables, name: &Bytes, now_us: u64) -> bool {
    matches!(judge(tables, name, now_us), Verdict::Elsewhere)
}
