//! Claims the replacement of a primary.

use std::collections::BTreeMap;

use bytes::Bytes;

use super::super::failover::{Failover, Stage};
use super::super::failover_kind::FailoverKind;
use super::super::replica_set_state::KnownRecord;
use super::super::tables::{Tables, text};
use super::super::{Condition, PromotionRecord, PromotionState, StateChange, StoreCall};
use super::permits;
use crate::rendezvous;

/// Delay between the claims of two proxies, by their order, so that usually one claims.
const TURN_US: u64 = 80_000;
/// Time after which the store's answer to a claim is given up.
const TIMEOUT_US: u64 = 400_000;

/// Claims the replacement when it is this proxy's turn.
pub fn consider(
    tables: &mut Tables,
    name: &Bytes,
    kind: FailoverKind,
    reason: &'static str,
    now_us: u64,
) {
    if !permits::has_majority(tables, now_us) {
        return;
    }
    let turn = turn(tables, name, now_us);
    let Some(set) = tables.sets.get_mut(name) else { return };
    let due_us = *set.claim_us.get_or_insert(now_us + turn * TURN_US);
    if now_us >= due_us {
        set.claim_us = None;
        claim(tables, name, kind, reason, now_us);
    }
}

/// Number of proxies in contact that come before this one for a replica set. The order differs by
/// replica set, so that the work is spread.
pub fn turn(tables: &Tables, name: &Bytes, now_us: u64) -> u64 {
    let own = rendezvous::weight(name, &tables.config.name);
    let before = tables.members.iter().filter(|(other, member)| {
        member.is_in_contact(now_us) && rendezvous::weight(name, other) > own
    });
    before.count() as u64
}

/// Sends a claim to the store.
pub fn claim(
    tables: &mut Tables,
    name: &Bytes,
    kind: FailoverKind,
    reason: &'static str,
    now_us: u64,
) {
    let Some(set) = tables.sets.get_mut(name) else { return };
    let (fencing_token, revision) = match &set.record {
        Some(KnownRecord { record, revision, .. }) => (record.fencing_token + 1, *revision),
        None => (1, 0),
    };
    let term = set.term();
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
        claimed_us: now_us,
        kind,
        term,
        former: set.primary().map(|(instance, _)| instance.clone()),
        stopped_proxies: Vec::new(),
        heard_us: BTreeMap::new(),
        last_position: set.last_position,
        statuses: Vec::new(),
        next_us: now_us,
        ask_us: now_us,
        is_writing: true,
    });
    tables.changes.push(StateChange::Claiming { replica_set: text(name), fencing_token, reason });
    let call = StoreCall::WritePromotion {
        replica_set: name.clone(),
        record,
        condition: Condition { revision },
    };
    tables.call_store(call, now_us + TIMEOUT_US);
}
