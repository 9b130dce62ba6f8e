//! Fences the instances of a database under a new term, chooses the next primary and promotes it.

use core::cmp::Reverse;

use crate::control::tables::{OwnedDatabase, Phase, Tables, Transfer};
use crate::control::{InstanceOperation, StateChange};
use crate::{DatabaseId, InstanceId};

const FENCE_TIMEOUT_US: u64 = 600_000;
const PROMOTE_TIMEOUT_US: u64 = 300_000;
/// Time that the other instances get to respond once a majority has accepted the term. One of them
/// can have a higher position, which matters under `durability = primary`, where a write is
/// acknowledged before a majority has it.
const MAJORITY_GRACE_US: u64 = 30_000;

/// Decision that the responses to the fencing calls allow.
enum Choice {
    /// Too few instances have accepted the term.
    NoMajority,
    /// A majority has accepted the term; the others have until this time to respond.
    WaitForMinority(u64),
    /// An earlier process has already promoted an instance under the term.
    TermUsed,
    /// Promote this instance.
    Promote(u8),
}

pub(crate) fn run(tables: &mut Tables) {
    for database in tables.due_owned.clone() {
        let Some(owned) = tables.owned.get(&database) else { continue };
        if matches!(owned.phase, Phase::Fencing { .. }) && !owned.needs_new_epoch {
            send_calls(tables, database);
            decide(tables, database);
        }
    }
}

fn send_calls(tables: &mut Tables, database: DatabaseId) {
    let now_us = tables.now_us;
    let owned = &tables.owned[&database];
    let operation = InstanceOperation::AcceptTerm(owned.term);
    for index in owned.indices() {
        let instance = InstanceId { database, index };
        let state = &tables.owned[&database].instances[usize::from(index)];
        if state.fenced.is_some() || state.fence_call.is_some() {
            continue;
        }
        let retry_at_us = state.retry_at_us;
        if now_us < retry_at_us {
            tables.timers.owned.set_if_earlier(database, retry_at_us);
            continue;
        }
        let call = tables.call_instance(instance, operation, FENCE_TIMEOUT_US);
        if let Some(state) = tables.instance_mut(instance) {
            state.fence_call = Some(call);
        }
    }
}

fn decide(tables: &mut Tables, database: DatabaseId) {
    let now_us = tables.now_us;
    let leaving = tables.leaving_indices(database);
    let Some(owned) = tables.owned.get_mut(&database) else { return };
    match choose_primary(owned, &leaving, now_us) {
        Choice::NoMajority => {}
        Choice::WaitForMinority(until_us) => tables.timers.owned.set_if_earlier(database, until_us),
        Choice::TermUsed => {
            owned.begin_next_term(owned.term, now_us);
            tables.timers.owned.set(database, now_us);
        }
        Choice::Promote(index) => promote(tables, InstanceId { database, index }),
    }
}

/// Sends the promotion call. Under one term, only one instance is ever sent one.
pub(crate) fn promote(tables: &mut Tables, instance: InstanceId) {
    let Some(owned) = tables.owned.get_mut(&instance.database) else { return };
    owned.phase = Phase::Promoting { index: instance.index };
    let operation = InstanceOperation::Promote(owned.term);
    tables.call_instance(instance, operation, PROMOTE_TIMEOUT_US);
}

/// Chooses the instance with the highest position among those that have accepted the term. Ties go
/// to instances that are not on a leaving host, then to the switchover target, then to the last
/// primary, then to the lowest index.
fn choose_primary(owned: &mut OwnedDatabase, leaving: &[u8], now_us: u64) -> Choice {
    let majority = owned.majority();
    let fenced: Vec<_> = owned
        .indices()
        .zip(&owned.instances)
        .filter_map(|(index, state)| Some((index, state.fenced?)))
        .collect();
    if fenced.len() < majority {
        return Choice::NoMajority;
    }
    owned.had_majority = true;
    let is_pending = owned.instances.iter().any(|s| s.fenced.is_none() && !s.fence_failed);
    let Phase::Fencing { majority_at_us, .. } = &mut owned.phase else { return Choice::NoMajority };
    let grace_ends_us = *majority_at_us.get_or_insert(now_us) + MAJORITY_GRACE_US;
    if is_pending && now_us < grace_ends_us {
        return Choice::WaitForMinority(grace_ends_us);
    }
    if fenced.iter().any(|(_, position)| position.term >= owned.term) {
        return Choice::TermUsed;
    }
    // A failed primary can still be reachable from here although its replicas cannot reach it. If
    // the other instances are a majority it is left out: one of them has every acknowledged write.
    let excluded = owned.excluded.filter(|excluded| {
        fenced.iter().filter(|(index, _)| index != excluded).count() >= majority
    });
    let best = fenced.iter().filter(|&&(index, _)| Some(index) != excluded).max_by_key(
        |&&(index, position)| {
            let is_target = owned.switchover_target == Some(index);
            let was_primary = owned.last_primary == Some(index);
            (position, !leaving.contains(&index), is_target, was_primary, Reverse(index))
        },
    );
    best.map_or(Choice::NoMajority, |&(index, _)| Choice::Promote(index))
}

/// Opens a database for requests once its primary has been promoted.
pub(crate) fn open(tables: &mut Tables, instance: InstanceId) {
    let now_us = tables.now_us;
    let InstanceId { database, index } = instance;
    let Some(owned) = tables.owned.get_mut(&database) else { return };
    owned.phase = Phase::Open { primary: index };
    if owned.last_primary != Some(index) {
        owned.next_evacuation_us = now_us;
    }
    owned.last_primary = Some(index);
    owned.excluded = None;
    owned.switchover_target = None;
    owned.minority_since_us = None;
    if matches!(owned.transfer, Some(Transfer::Switchover { .. })) {
        owned.transfer = None;
    }
    let term = owned.term;
    for index in owned.indices() {
        tables.timers.instance.set(InstanceId { database, index }, now_us);
    }
    tables.counters.promotions += 1;
    tables.view_changed = true;
    tables.timers.owned.set_if_earlier(database, now_us);
    tables.log(StateChange::PrimaryPromoted { database, instance_index: index, term });
}
