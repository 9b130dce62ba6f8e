//! Chooses the instance that takes over.

use bytes::Bytes;

use super::super::Action;
use super::super::failover::Failover;
use super::super::failover_kind::FailoverKind;
use super::super::tables::Tables;
use super::failovers::{STATUS_TIMEOUT_US, may_ask};
use crate::{InstanceCall, InstanceCommand, InstanceStatus};

/// Time for the candidates to report before one that has reported is taken.
const REPORTS_US: u64 = 350_000;
/// Time for a replica to receive what a working primary has committed.
const CATCH_UP_US: u64 = 1_500_000;

/// Asks every candidate for its state, at intervals.
pub fn ask(tables: &mut Tables, name: &Bytes, failover: &Failover, now_us: u64) {
    if !may_ask(tables, name, now_us) {
        return;
    }
    for instance in candidates(tables, name, failover) {
        tables.actions.push(Action::Call(InstanceCall {
            replica_set: name.clone(),
            instance,
            command: InstanceCommand::Status,
            deadline_us: now_us + STATUS_TIMEOUT_US,
        }));
    }
}

fn candidates(tables: &Tables, name: &Bytes, failover: &Failover) -> Vec<Bytes> {
    let Some(set) = tables.sets.get(name) else { return Vec::new() };
    let others = set.instances.keys().filter(|id| Some(*id) != failover.former.as_ref());
    others.cloned().collect()
}

/// What is to be done with a set that nobody uses.
pub enum Choice {
    /// Too little is known, or no candidate has received enough.
    Wait,
    /// This candidate takes over.
    Promote(Bytes, InstanceStatus),
    /// The former primary goes on, because no candidate has received everything.
    Keep(Bytes),
}

/// The candidate that has received most, once enough is known.
pub fn choose(tables: &Tables, name: &Bytes, failover: &Failover, now_us: u64) -> Choice {
    let waited_us = now_us.saturating_sub(failover.claimed_us);
    let best = best(tables, name, failover, waited_us);
    let has_everything = best.as_ref().is_some_and(|(_, status)| {
        failover.last_position.is_none_or(|position| status.received >= position)
    });
    let may_wait = waited_us < CATCH_UP_US;
    match (best, failover.kind, &failover.former) {
        (Some((id, status)), ..) if has_everything => Choice::Promote(id, status),
        (_, FailoverKind::ReplicasLagging, Some(former)) if !may_wait => {
            Choice::Keep(former.clone())
        }
        (Some((id, status)), FailoverKind::PrimaryLost, _) => Choice::Promote(id, status),
        (Some((id, status)), FailoverKind::PrimaryLeaving, _) if !may_wait => {
            Choice::Promote(id, status)
        }
        _ => Choice::Wait,
    }
}

fn best(
    tables: &Tables,
    name: &Bytes,
    failover: &Failover,
    waited_us: u64,
) -> Option<(Bytes, InstanceStatus)> {
    let candidates = candidates(tables, name, failover);
    let reported: Vec<&(Bytes, InstanceStatus)> =
        failover.statuses.iter().filter(|(id, _)| candidates.contains(id)).collect();
    let set = tables.sets.get(name)?;
    let leaves = |id: &Bytes| set.instances.get(id).is_none_or(|row| row.entry.is_leaving);
    let best =
        reported.iter().max_by_key(|(id, status)| (status.received, !leaves(id), id.clone()))?;
    let is_complete = reported.len() == candidates.len();
    let needs = needed_reports(tables, name, candidates.len());
    if reported.len() < needs || !(is_complete || waited_us >= REPORTS_US) {
        return None;
    }
    Some((best.0.clone(), best.1))
}

/// Candidates that must report so that every acknowledged commit is at one of them at least.
fn needed_reports(tables: &Tables, name: &Bytes, candidates: usize) -> usize {
    let rules = &tables.configuration.replica_sets;
    let sync = rules.iter().find(|rule| rule.name == *name).map_or(0, |rule| rule.sync_replicas);
    match sync as usize {
        0 => 1,
        sync => (candidates + 1).saturating_sub(sync).max(1),
    }
}
