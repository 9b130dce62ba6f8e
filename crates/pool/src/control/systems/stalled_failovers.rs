//! Ends the replacement of a holder that stands still after its promotion call.
//!
//! Before its call the holder tells the others which instance it promotes. If the end of the
//! replacement does not come in time, another proxy asks that instance, and all use it as soon as it
//! says that it leads. Any other instance that leads may be one that this claim supersedes.

use bytes::Bytes;

use super::super::replica_set_state::KnownRecord;
use super::super::tables::Tables;
use super::super::{Action, PromotionRecord, PromotionState};
use super::failover_store;
use super::failovers::{POLL_US, STATUS_TIMEOUT_US};
use crate::{InstanceCall, InstanceCommand, InstanceStatus, ReplicationRole, rendezvous};

/// Delay between the questions of two proxies, by their order.
const ASK_STAGGER_US: u64 = 100_000;

/// The holder of a claim tells which instance it promotes.
pub fn promotion_announced(tables: &mut Tables, name: &Bytes, fencing_token: u64, instance: Bytes) {
    if let Some(set) = tables.sets.get_mut(name) {
        set.announced_promotion = Some((fencing_token, instance));
    }
}

/// Asks the announced instance whether it leads, once the holder is late.
pub fn run(tables: &mut Tables, name: &Bytes, now_us: u64) {
    let Some(set) = tables.sets.get(name) else { return };
    let Some(instance) = announced_instance(tables, name).cloned() else { return };
    let Some(claim) = set.claim() else { return };
    let late_us = claim.seen_us + set.failover_duration_us + set.failover_duration_us / 4;
    let due_us = late_us + ask_order(tables, name, claim, now_us) * ASK_STAGGER_US;
    if now_us < due_us.max(set.search_us) {
        return;
    }
    if let Some(set) = tables.sets.get_mut(name) {
        set.search_us = now_us + POLL_US;
    }
    tables.actions.push(Action::Call(InstanceCall {
        replica_set: name.clone(),
        instance,
        command: InstanceCommand::Status,
        deadline_us: now_us + STATUS_TIMEOUT_US,
    }));
}

/// The instance that another proxy's present claim promotes.
fn announced_instance<'a>(tables: &'a Tables, name: &Bytes) -> Option<&'a Bytes> {
    let set = tables.sets.get(name)?;
    let claim = set.claim().filter(|_| set.failover.is_none() && !set.has_unseen_claim())?;
    let (fencing_token, instance) = set.announced_promotion.as_ref()?;
    let is_own = claim.record.holder == tables.config.name;
    (*fencing_token == claim.record.fencing_token && !is_own).then_some(instance)
}

/// Number of proxies in contact, the holder left out, that come before this one.
fn ask_order(tables: &Tables, name: &Bytes, claim: &KnownRecord, now_us: u64) -> u64 {
    let own = rendezvous::weight(name, &tables.config.name);
    let others = tables.members.iter().filter(|(other, member)| {
        **other != claim.record.holder
            && member.is_in_contact(now_us)
            && rendezvous::weight(name, other) > own
    });
    others.count() as u64
}

/// An instance has reported its state: if it leads as announced, the replacement is done.
pub fn status_received(
    tables: &mut Tables,
    call: &InstanceCall,
    status: InstanceStatus,
    now_us: u64,
) {
    let name = &call.replica_set;
    if announced_instance(tables, name) != Some(&call.instance)
        || status.role != ReplicationRole::Primary
    {
        return;
    }
    let Some(claim) = tables.sets.get(name).and_then(|set| set.claim()) else { return };
    let PromotionState::Claimed { term, .. } = claim.record.state else { return };
    if status.term <= term {
        return;
    }
    let state = PromotionState::Done { instance: call.instance.clone(), term: status.term };
    let record = PromotionRecord { state, ..claim.record.clone() };
    let revision = claim.revision;
    failover_store::conclude(tables, name, record, revision, "the announced instance", now_us);
}
