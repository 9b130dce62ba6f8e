//! Changes the agreed membership: the first record, joins and departures, and the loss of a
//! majority.
//!
//! Load pattern: hosts are restarted, replaced and lost one after the other and many at once, and
//! partitions of any length come at any moment of that. The members change only with the agreement
//! of a majority of the old and of the new ones. Without a majority of the old ones they change only
//! after everybody who has not heard of it has lost its permit.

use std::collections::BTreeSet;

use bytes::Bytes;

use super::super::member::Member;
use super::super::membership_change::MembershipChange;
use super::super::tables::Tables;
use super::super::{
    Condition, MembershipRecord, StateChange, StoreCall, StoreContent, StoreItem, StoreOutcome,
};
use super::membership::{self, display_names};
use super::{claims, permits, suspension};

/// Time that a member may be gone before it is removed. A process that is restarted, or suspended for
/// a while, stays a member: it can come back while the store is away.
const RETENTION_US: u64 = 10_000_000;
/// The same if the loss of one more member would leave no majority.
const URGENT_RETENTION_US: u64 = 2_000_000;
/// Largest number of members of a small fleet.
const SMALL_FLEET: usize = 10;
/// Allowance for different clock rates of two hosts and for messages in transit.
const CLOCK_MARGIN_US: u64 = 200_000;
/// Delay between the proposals of two proxies in turn, so that usually only one writes.
const STAGGER_US: u64 = 60_000;
/// Time for the other proxies of a fleet that starts for the first time to register. Each one that
/// comes later costs a change of the membership.
const FIRST_RECORD_DELAY_US: u64 = 500_000;
/// Time that a record stays before its members change, so that proxies that start together join
/// together.
const SPACING_US: u64 = 100_000;
/// The same in a large fleet.
const LARGE_SPACING_US: u64 = 1_000_000;
/// Time after which the item in the store is repaired if it is older than the known record.
const REPAIR_US: u64 = 1_000_000;
/// Time after which a write is abandoned.
const WRITE_TIMEOUT_US: u64 = 700_000;
/// Delay after a write that failed.
const RETRY_US: u64 = 300_000;

pub fn run(tables: &mut Tables, now_us: u64) {
    track_majority(tables, now_us);
    let membership = &tables.membership;
    if !tables.mirror.is_complete
        || tables.mirror.failing_since_us.is_some()
        || tables.stopping.is_some()
        || membership.is_writing
        || now_us < membership.next_write_us
    {
        return;
    }
    let Some(change) = next_change(tables, now_us) else {
        tables.membership.change_since_us = None;
        return;
    };
    let order = claims::claim_order(tables, &Bytes::from_static(b"membership"), now_us);
    let since_us = *tables.membership.change_since_us.get_or_insert(now_us);
    if now_us >= since_us + order * STAGGER_US {
        write(tables, change, now_us);
    }
}

/// Notes since when this proxy reaches no majority of the members.
fn track_majority(tables: &mut Tables, now_us: u64) {
    let has_majority = permits::is_majority_in_contact(tables, now_us);
    let alone_since_us = &mut tables.membership.alone_since_us;
    match has_majority {
        true => *alone_since_us = None,
        false => {
            alone_since_us.get_or_insert(now_us);
        }
    }
}

fn write(tables: &mut Tables, change: MembershipChange, now_us: u64) {
    let known = tables.membership.record.clone().unwrap_or_default();
    let (before, after) = (known.names(), change.record.names());
    tables.changes.push(StateChange::MembershipProposed {
        epoch: change.record.epoch,
        reason: change.reason,
        joining: display_names(after.difference(&before).copied()),
        leaving: display_names(before.difference(&after).copied()),
    });
    tables.membership.is_writing = true;
    let condition = Condition { revision: tables.membership.stored_revision };
    let call = StoreCall::WriteMembership { record: change.record, condition };
    tables.call_store(call, now_us + WRITE_TIMEOUT_US);
}

/// Handles the store's response to a write. If the response was lost, the watch shows whether the
/// write took place.
pub fn write_response_received(
    tables: &mut Tables,
    record: MembershipRecord,
    outcome: StoreOutcome,
    now_us: u64,
) {
    tables.membership.is_writing = false;
    tables.membership.change_since_us = None;
    match outcome {
        StoreOutcome::Written { revision } => {
            membership::apply_stored(tables, record, revision, now_us);
        }
        StoreOutcome::Conflict { item } => conflict(tables, item, now_us),
        _ => tables.membership.next_write_us = now_us + RETRY_US,
    }
}

fn conflict(tables: &mut Tables, item: Option<StoreItem>, now_us: u64) {
    tables.membership.next_write_us = now_us + RETRY_US;
    match item {
        Some(StoreItem { content: StoreContent::Membership(record), revision, .. }) => {
            membership::apply_stored(tables, record, revision, now_us);
        }
        Some(StoreItem { content: StoreContent::Unreadable { .. }, revision, .. }) => {
            membership::lost_in_store(tables, revision, true, now_us);
        }
        _ => membership::lost_in_store(tables, u64::MAX, false, now_us),
    }
}

/// The change that is necessary now, if any.
fn next_change(tables: &Tables, now_us: u64) -> Option<MembershipChange> {
    let Some(known) = &tables.membership.record else { return first_record(tables, now_us) };
    if known.is_suspended {
        return suspension::end(tables, known, now_us);
    }
    if !permits::has_majority(tables, now_us) {
        return suspension::begin(tables, known, now_us);
    }
    repair(tables, known)
        .or_else(|| complete(tables, known, now_us))
        .or_else(|| update(tables, known, now_us))
}

/// The first record of a fleet: all proxies that are registered or in contact.
fn first_record(tables: &Tables, now_us: u64) -> Option<MembershipChange> {
    let membership = &tables.membership;
    if !tables.registration.is_written || now_us < membership.started_us + FIRST_RECORD_DELAY_US {
        return None;
    }
    // Somebody may still decide under the record that cannot be decoded.
    let unreadable_since_us = membership.unreadable_since_us;
    if unreadable_since_us.is_some_and(|since_us| now_us < since_us + suspension::duration_us(true))
    {
        return None;
    }
    let reported = tables.members.values().map(|member| member.epoch).max().unwrap_or(0);
    let record = MembershipRecord {
        epoch: reported + 1,
        members: suspension::survivors(tables, now_us),
        outgoing: Vec::new(),
        is_suspended: false,
    };
    Some(MembershipChange { record, reason: "the store has no membership" })
}

/// Writes the known record again if the store lost it.
fn repair(tables: &Tables, known: &MembershipRecord) -> Option<MembershipChange> {
    let membership = &tables.membership;
    let is_behind = membership.stored_epoch.is_none_or(|epoch| epoch < known.epoch);
    let is_settled =
        membership.read_us > membership.seen_us + REPAIR_US || membership.stored_epoch.is_none();
    let record = MembershipRecord { epoch: known.epoch + 1, ..known.clone() };
    let reason = "the store lost the membership";
    (is_behind && is_settled).then_some(MembershipChange { record, reason })
}

/// Ends a change once a majority of the old and of the new members have heard of it, and whoever
/// had not before has lost its permit.
fn complete(tables: &Tables, known: &MembershipRecord, now_us: u64) -> Option<MembershipChange> {
    if !known.is_joint() {
        return None;
    }
    let adopted_us = |name: &Bytes| match tables.members.get(name) {
        _ if *name == tables.config.name => tables.membership.seen_us,
        Some(member) if member.epoch >= known.epoch => member.epoch_us,
        _ => 0,
    };
    let adopted_us = known.majority_time_us(adopted_us)?;
    if now_us < adopted_us + permits::PERMIT_US + CLOCK_MARGIN_US {
        return None;
    }
    let record = MembershipRecord { epoch: known.epoch + 1, outgoing: Vec::new(), ..known.clone() };
    Some(MembershipChange { record, reason: "the change is known to both majorities" })
}

/// Adds proxies that have joined, and removes those that are gone. During a change only joins are
/// added, which do not wait for its end.
fn update(tables: &Tables, known: &MembershipRecord, now_us: u64) -> Option<MembershipChange> {
    let spacing_us = if is_large(tables) { LARGE_SPACING_US } else { SPACING_US };
    if now_us < tables.membership.seen_us + spacing_us {
        return None;
    }
    let joining: Vec<&Bytes> = tables
        .members
        .iter()
        .filter(|(name, row)| row.is_in_contact(now_us) && !known.members.contains(*name))
        .map(|(name, _)| name)
        .collect();
    let retention_us =
        if is_majority_thin(tables, known, now_us) { URGENT_RETENTION_US } else { RETENTION_US };
    let is_staying =
        |name: &&Bytes| known.is_joint() || !is_gone(tables, name, retention_us, now_us);
    let staying: BTreeSet<&Bytes> = known.members.iter().filter(is_staying).collect();
    if joining.is_empty() && staying.len() == known.members.len() {
        return None;
    }
    let outgoing = if known.is_joint() { &known.outgoing } else { &known.members };
    let members: BTreeSet<&Bytes> = staying.into_iter().chain(joining).collect();
    let record = MembershipRecord {
        epoch: known.epoch + 1,
        members: members.into_iter().cloned().collect(),
        outgoing: outgoing.clone(),
        is_suspended: false,
    };
    Some(MembershipChange { record, reason: "proxies have joined or are gone" })
}

/// Whether the loss of one more member would leave no majority of the present ones.
fn is_majority_thin(tables: &Tables, known: &MembershipRecord, now_us: u64) -> bool {
    let present = known.members.iter().filter(|name| tables.is_present(name, now_us)).count();
    present <= known.members.len() / 2 + 1
}

/// Whether a member has been neither registered nor in contact for a time.
fn is_gone(tables: &Tables, name: &Bytes, retention_us: u64, now_us: u64) -> bool {
    if tables.is_present(name, now_us) {
        return false;
    }
    let departed_us = tables.members.get(name).map_or(0, Member::departed_us);
    now_us >= departed_us.max(tables.membership.started_us) + retention_us
}

fn is_large(tables: &Tables) -> bool {
    tables.members.len() >= SMALL_FLEET
}
