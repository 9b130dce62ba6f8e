//! Chooses the instance that takes over.

use bytes::Bytes;

use super::super::Action;
use super::super::tables::Tables;
use super::super::takeover::Takeover;
use super::takeovers::{STATUS_TIMEOUT_US, may_ask};
use crate::{GroupCall, GroupCommand, InstanceStatus};

/// Time for the candidates to report before one that has reported is taken.
const REPORTS_US: u64 = 350_000;
/// Time for a replica to receive what a working primary has committed.
const CATCH_UP_US: u64 = 1_500_000;

/// Asks every candidate for its state, at intervals.
pub fn ask(tables: &mut Tables, name: &Bytes, takeover: &Takeover, now_us: u64) {
    if !may_ask(tables, name, now_us) {
        return;
    }
    for instance in candidates(tables, name, takeover) {
        tables.actions.push(Action::Call(GroupCall {
            replica_set: name.clone(),
            instance,
            command: GroupCommand::Status,
            deadline_us: now_us + STATUS_TIMEOUT_US,
        }));
    }
}

fn candidates(tables: &Tables, name: &Bytes, takeover: &Takeover) -> Vec<Bytes> {
    let Some(set) = tables.sets.get(name) else { return Vec::new() };
    let others = set.instances.keys().filter(|id| Some(*id) != takeover.former.as_ref());
    others.cloned().collect()
}

/// The candidate that has received most, once enough is known.
pub fn choose(
    tables: &Tables,
    name: &Bytes,
    takeover: &Takeover,
    now_us: u64,
) -> Option<(Bytes, InstanceStatus)> {
    let candidates = candidates(tables, name, takeover);
    let reported: Vec<&(Bytes, InstanceStatus)> =
        takeover.statuses.iter().filter(|(id, _)| candidates.contains(id)).collect();
    let set = tables.sets.get(name)?;
    let leaves = |id: &Bytes| set.instances.get(id).is_none_or(|row| row.entry.is_leaving);
    let best =
        reported.iter().max_by_key(|(id, status)| (status.received, !leaves(id), id.clone()))?;
    let is_complete = reported.len() == candidates.len();
    let waited_us = now_us.saturating_sub(takeover.claimed_us);
    let needs = needed_reports(tables, name, candidates.len());
    if reported.len() < needs || !(is_complete || waited_us >= REPORTS_US) {
        return None;
    }
    let has_everything = takeover.last_position.is_none_or(|position| best.1.received >= position);
    if takeover.is_planned && !has_everything && waited_us < CATCH_UP_US {
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
