//! Claims the failover of a primary.

use std::collections::BTreeMap;

use bytes::Bytes;

use super::super::failover::{Failover, Stage};
use super::super::failover_kind::FailoverKind;
use super::super::replica_set_state::{ClaimAttempt, KnownRecord, ReplicaSetState};
use super::super::tables::{Tables, display_name};
use super::super::{Action, Condition, PromotionRecord, PromotionState, StateChange, StoreCall};
use super::permits;
use crate::rendezvous;

/// Delay between the claims of two proxies in claim order, so that usually only one proxy claims.
const CLAIM_STAGGER_US: u64 = 80_000;
/// Time after a failover in which its holder claims before all others.
const LAST_HOLDER_US: u64 = 3_200_000;
/// Time after which a claim without a response from the store is abandoned.
const CLAIM_TIMEOUT_US: u64 = 400_000;

/// Claims the failover once this proxy's delay in the claim order has passed. Requires contact with
/// a majority.
pub fn claim_in_turn(
    tables: &mut Tables,
    name: &Bytes,
    kind: FailoverKind,
    reason: &'static str,
    now_us: u64,
) {
    if !permits::has_majority(tables, now_us) {
        return;
    }
    let order = match last_holder(tables, name, now_us) {
        LastHolder::This => 0,
        LastHolder::Another if kind.is_planned() => return,
        LastHolder::Another => claim_order(tables, name, now_us) + 1,
        LastHolder::None => claim_order(tables, name, now_us),
    };
    let Some(set) = tables.replica_sets.get_mut(name) else { return };
    let due_us = *set.claim_due_us.get_or_insert(now_us + order * CLAIM_STAGGER_US);
    if now_us >= due_us {
        set.claim_due_us = None;
        claim(tables, name, kind, reason, now_us);
    }
}

/// Which proxy made the last claim, if that was a short time ago.
enum LastHolder {
    /// None did, or the one that did cannot claim now.
    None,
    This,
    Another,
}

/// The proxy that goes first because it made the last claim. Two proxies that claim one replica set
/// in turn would each act as the one that decides within a short time.
fn last_holder(tables: &Tables, name: &Bytes, now_us: u64) -> LastHolder {
    let record = tables.replica_sets.get(name).and_then(|set| set.record.as_ref());
    let Some(known) = record.filter(|known| now_us < known.seen_us + LAST_HOLDER_US) else {
        return LastHolder::None;
    };
    let holder = &known.record.holder;
    let is_able = tables.members.get(holder).is_some_and(|member| {
        member.is_in_contact(now_us)
            && !member.is_store_unreachable
            && member.incarnation == known.record.holder_incarnation
    });
    match (*holder == tables.config.name, is_able && !known.record.is_claimed()) {
        (true, _) => LastHolder::This,
        (false, true) => LastHolder::Another,
        (false, false) => LastHolder::None,
    }
}

/// Replaces this proxy's own claim, which has expired. Requires contact with a majority; without it
/// the claim stays in place until a proxy has one.
pub fn claim_again(
    tables: &mut Tables,
    name: &Bytes,
    kind: FailoverKind,
    reason: &'static str,
    now_us: u64,
) {
    if permits::has_majority(tables, now_us) {
        claim(tables, name, kind, reason, now_us);
    }
}

/// Number of proxies in contact that claim before this one. The order differs between replica sets,
/// which spreads the work.
pub fn claim_order(tables: &Tables, name: &Bytes, now_us: u64) -> u64 {
    let own = rendezvous::weight(name, &tables.config.name);
    let before = tables.members.iter().filter(|(other, member)| {
        member.is_in_contact(now_us) && rendezvous::weight(name, other) > own
    });
    before.count() as u64
}

/// Writes a claim to the store.
fn claim(tables: &mut Tables, name: &Bytes, kind: FailoverKind, reason: &'static str, now_us: u64) {
    let Some(set) = tables.replica_sets.get_mut(name) else { return };
    let (last_token, revision) = match &set.record {
        Some(KnownRecord { record, revision, .. }) => (record.fencing_token, *revision),
        None => (0, 0),
    };
    // No proxy writes the largest token; a record that has it is damaged.
    let Some(fencing_token) = last_token.checked_add(1) else { return };
    let term = set.newest_term();
    let claimed_us = first_attempt_us(set, fencing_token, now_us);
    let record = PromotionRecord {
        fencing_token,
        holder: tables.config.name.clone(),
        holder_incarnation: tables.config.incarnation,
        state: PromotionState::Claimed { term, is_planned: kind.is_planned() },
    };
    set.failover = Some(Failover {
        stage: Stage::Claiming,
        fencing_token,
        revision: 0,
        claimed_us,
        kind,
        term,
        former_term: term,
        old_primary: set.primary().map(|(instance, _)| instance.clone()),
        stopped_proxies: Vec::new(),
        newest_epoch: 0,
        last_heard_us: BTreeMap::new(),
        last_position: set.last_position,
        statuses: Vec::new(),
        next_step_us: now_us,
        next_poll_us: now_us,
        is_calling_store: true,
    });
    tables.changes.push(StateChange::Claiming {
        replica_set: display_name(name),
        fencing_token,
        reason,
    });
    let call = StoreCall::WritePromotion {
        replica_set: name.clone(),
        record,
        condition: Condition { revision },
    };
    tables.call_store(call, now_us + CLAIM_TIMEOUT_US);
}

/// When this proxy first sent the claim with a fencing token. The store may perform that call
/// seconds later, so that a repeated call finds its claim in place: others count its age from there.
fn first_attempt_us(set: &mut ReplicaSetState, fencing_token: u64, now_us: u64) -> u64 {
    match set.claim_attempt {
        Some(attempt) if attempt.fencing_token == fencing_token => attempt.sent_us,
        _ => {
            set.claim_attempt = Some(ClaimAttempt { fencing_token, sent_us: now_us });
            now_us
        }
    }
}

/// Ends this proxy's failover, because another proxy has claimed it or the claim has expired.
pub fn drop_claim(tables: &mut Tables, name: &Bytes, reason: &'static str) {
    if let Some(failover) = take_failover(tables, name) {
        tables.changes.push(StateChange::ClaimDropped {
            replica_set: display_name(name),
            fencing_token: failover.fencing_token,
            reason,
        });
    }
    if let Some(set) = tables.replica_sets.get_mut(name) {
        set.claim_due_us = None;
    }
    tables.is_view_outdated = true;
}

/// Drops the claim if a record shows that another proxy has claimed the failover after it, or won
/// the race for the same fencing token.
pub fn drop_superseded(tables: &mut Tables, name: &Bytes, record: &PromotionRecord) {
    let own = tables.replica_sets.get(name).and_then(|set| set.failover.as_ref());
    let is_superseded = own.is_some_and(|own| {
        let is_foreign = record.holder != tables.config.name;
        record.fencing_token > own.fencing_token
            || (record.fencing_token == own.fencing_token && is_foreign)
    });
    if is_superseded {
        drop_claim(tables, name, "another claim has replaced it");
    }
}

/// Removes this proxy's failover and abandons its promotion call, which must not take effect under
/// a later claim.
pub fn take_failover(tables: &mut Tables, name: &Bytes) -> Option<Failover> {
    let failover = tables.replica_sets.get_mut(name)?.failover.take()?;
    if let Stage::Promoting { .. } = failover.stage {
        tables.actions.push(Action::AbandonPromotion {
            replica_set: name.clone(),
            fencing_token: failover.fencing_token,
        });
    }
    Some(failover)
}
