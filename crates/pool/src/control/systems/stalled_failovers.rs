//! Completes a failover whose holder is suspended after it sent the promotion call.
//!
//! Before the call, the holder announces which instance it promotes. If the completion is overdue,
//! another proxy polls that instance, and all proxies use it once it reports that it is the
//! primary. Any other instance that acts as primary may be the one that this claim replaces.

use bytes::Bytes;

use super::super::replica_set_state::{AnnouncedPromotion, KnownRecord};
use super::super::tables::Tables;
use super::super::{Action, PromotionRecord, PromotionState};
use super::failover_store;
use super::failovers::{POLL_US, STATUS_TIMEOUT_US};
use crate::{InstanceCall, InstanceCommand, InstanceStatus, ReplicationRole, rendezvous};

/// Delay between the polls of two proxies, in the order of their turns.
const ASK_STAGGER_US: u64 = 100_000;

/// Records which instance the holder of a claim promotes.
pub fn promotion_announced(tables: &mut Tables, name: &Bytes, announced: AnnouncedPromotion) {
    if let Some(set) = tables.replica_sets.get_mut(name) {
        set.announced_promotion = Some(announced);
    }
}

/// Polls the announced instance when the holder's completion is overdue.
pub fn run(tables: &mut Tables, name: &Bytes, now_us: u64) {
    let Some(set) = tables.replica_sets.get(name) else { return };
    let Some(announced) = announced_promotion(tables, name) else { return };
    let instance = announced.instance.clone();
    let Some(claim) = set.claim() else { return };
    let overdue_us = claim.seen_us + set.failover_duration_us + set.failover_duration_us / 4;
    let due_us = overdue_us + ask_order(tables, name, claim, now_us) * ASK_STAGGER_US;
    if now_us < due_us.max(set.next_search_us) {
        return;
    }
    if let Some(set) = tables.replica_sets.get_mut(name) {
        set.next_search_us = now_us + POLL_US;
    }
    tables.actions.push(Action::Call(InstanceCall {
        replica_set: name.clone(),
        instance,
        command: InstanceCommand::Status,
        deadline_us: now_us + STATUS_TIMEOUT_US,
    }));
}

/// The promotion of another proxy's current claim.
fn announced_promotion<'a>(tables: &'a Tables, name: &Bytes) -> Option<&'a AnnouncedPromotion> {
    let set = tables.replica_sets.get(name)?;
    let claim = set.claim().filter(|_| set.failover.is_none() && !set.has_unseen_claim())?;
    let announced = set.announced_promotion.as_ref()?;
    let is_own = claim.record.holder == tables.config.name;
    (announced.fencing_token == claim.record.fencing_token && !is_own).then_some(announced)
}

/// Number of proxies in contact that poll before this one, not counting the holder.
fn ask_order(tables: &Tables, name: &Bytes, claim: &KnownRecord, now_us: u64) -> u64 {
    let own = rendezvous::weight(name, &tables.config.name);
    let others = tables.members.iter().filter(|(other, member)| {
        **other != claim.record.holder
            && member.is_in_contact(now_us)
            && rendezvous::weight(name, other) > own
    });
    others.count() as u64
}

/// Handles a status response: if the announced instance is the primary, the failover is complete.
pub fn status_received(
    tables: &mut Tables,
    call: &InstanceCall,
    status: InstanceStatus,
    now_us: u64,
) {
    let name = &call.replica_set;
    let Some(announced) = announced_promotion(tables, name) else { return };
    if announced.instance != call.instance
        || status.role != ReplicationRole::Primary
        || status.term <= announced.former_term
    {
        return;
    }
    let Some(claim) = tables.replica_sets.get(name).and_then(|set| set.claim()) else { return };
    let state = PromotionState::Done { instance: call.instance.clone(), term: status.term };
    let record = PromotionRecord { state, ..claim.record.clone() };
    let revision = claim.revision;
    failover_store::complete(tables, name, record, revision, "the announced instance", now_us);
}
