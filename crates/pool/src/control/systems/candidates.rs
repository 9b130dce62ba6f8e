//! Selects the instance to promote.

use bytes::Bytes;
use flamingorock_core::Term;

use super::super::Action;
use super::super::failover::Failover;
use super::super::failover_kind::FailoverKind;
use super::super::tables::Tables;
use super::failovers::{STATUS_TIMEOUT_US, start_poll};
use crate::{InstanceCall, InstanceCommand, InstanceStatus, ReplicationRole};

/// Time to wait for the status of all candidates before choosing among those that have responded.
const REPORT_WAIT_US: u64 = 350_000;
/// Time that candidates have to receive the last commits of a primary that still works.
const CATCH_UP_US: u64 = 1_500_000;

/// Polls the status of every candidate, at a bounded rate.
pub fn ask(tables: &mut Tables, name: &Bytes, failover: &Failover, now_us: u64) {
    if !start_poll(tables, name, now_us) {
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
    let Some(set) = tables.replica_sets.get(name) else { return Vec::new() };
    let others = set.instances.keys().filter(|id| Some(*id) != failover.old_primary.as_ref());
    others.cloned().collect()
}

/// How a failover continues once no proxy uses the primary any more.
pub enum Choice {
    /// Too few candidates have responded, or none has received enough.
    Wait,
    /// Promote this candidate.
    Promote(Bytes, InstanceStatus),
    /// Keep the old primary, because no candidate has received everything.
    Keep(Bytes),
}

/// Chooses the candidate with the highest received position, once enough of them have responded.
pub fn choose(tables: &Tables, name: &Bytes, failover: &Failover, now_us: u64) -> Choice {
    let waited_us = now_us.saturating_sub(failover.claimed_us);
    let best = best_candidate(tables, name, failover, waited_us);
    let has_everything = best.as_ref().is_some_and(|(_, status)| {
        failover.last_position.is_none_or(|position| status.received >= position)
    });
    let can_wait = waited_us < CATCH_UP_US;
    match (best, failover.kind, &failover.old_primary) {
        (Some((id, status)), ..) if has_everything => Choice::Promote(id, status),
        (_, FailoverKind::ReplicasLagging, Some(old_primary)) if !can_wait => {
            Choice::Keep(old_primary.clone())
        }
        (Some((id, status)), FailoverKind::PrimaryUnreachable, _) => Choice::Promote(id, status),
        (Some((id, status)), FailoverKind::PrimaryLeaving, _) if !can_wait => {
            Choice::Promote(id, status)
        }
        _ => Choice::Wait,
    }
}

fn best_candidate(
    tables: &Tables,
    name: &Bytes,
    failover: &Failover,
    waited_us: u64,
) -> Option<(Bytes, InstanceStatus)> {
    let candidates = candidates(tables, name, failover);
    let reported: Vec<&(Bytes, InstanceStatus)> =
        failover.statuses.iter().filter(|(id, _)| candidates.contains(id)).collect();
    let set = tables.replica_sets.get(name)?;
    let is_leaving = |id: &Bytes| set.instances.get(id).is_none_or(|row| row.entry.is_leaving);
    let best = reported.iter().max_by_key(|(id, status)| {
        // An instance that leads already may be the present primary, which nobody has recorded.
        let led_term = match status.role {
            ReplicationRole::Primary => status.term,
            ReplicationRole::Replica => Term::default(),
        };
        (status.received, !is_leaving(id), led_term, id.clone())
    })?;
    let is_complete = reported.len() == candidates.len();
    let needs = needed_reports(tables, name, candidates.len());
    if reported.len() < needs || !(is_complete || waited_us >= REPORT_WAIT_US) {
        return None;
    }
    Some((best.0.clone(), best.1))
}

/// Number of candidates whose status is needed so that at least one of them has every acknowledged
/// commit.
fn needed_reports(tables: &Tables, name: &Bytes, candidates: usize) -> usize {
    let rules = &tables.configuration.replica_sets;
    let sync = rules.iter().find(|rule| rule.name == *name).map_or(0, |rule| rule.sync_replicas);
    match sync as usize {
        0 => 1,
        sync => (candidates + 1).saturating_sub(sync).max(1),
    }
}
