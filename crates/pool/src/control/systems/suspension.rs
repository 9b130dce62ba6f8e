//! Suspends a membership that has no majority, and ends the suspension.

use std::collections::BTreeSet;

use bytes::Bytes;

use super::super::MembershipRecord;
use super::super::membership_change::MembershipChange;
use super::super::tables::Tables;
use super::permits;

/// Allowance for different clock rates of two hosts and for messages in transit.
const CLOCK_MARGIN_US: u64 = 200_000;
/// Time without a majority after which a proxy suspends the membership, unless the others are
/// registered.
const ALONE_US: u64 = 3_500_000;
/// Time after a suspended record was resumed in which it is not suspended again: whoever resumed it
/// has a majority and the store.
const RESUMED_US: u64 = 15_000_000;

/// Suspends the membership if this proxy has reached no majority for some time and most of the
/// others are not registered either. They may be dead, or beyond a partition.
pub fn begin(tables: &Tables, known: &MembershipRecord, now_us: u64) -> Option<MembershipChange> {
    let membership = &tables.membership;
    let alone_since_us = membership.alone_since_us?;
    if now_us < alone_since_us + ALONE_US
        || membership.resumed_us.is_some_and(|resumed_us| now_us < resumed_us + RESUMED_US)
        || known.is_majority(|name| tables.is_present(name, now_us))
    {
        return None;
    }
    let record = MembershipRecord { epoch: known.epoch + 1, is_suspended: true, ..known.clone() };
    Some(MembershipChange { record, reason: "no majority is in contact or registered" })
}

/// Resumes a suspended membership if a majority is there after all, or replaces it once nobody else
/// can hold a permit.
pub fn end(tables: &Tables, known: &MembershipRecord, now_us: u64) -> Option<MembershipChange> {
    if permits::is_majority_in_contact(tables, now_us) {
        let record =
            MembershipRecord { epoch: known.epoch + 1, is_suspended: false, ..known.clone() };
        return Some(MembershipChange { record, reason: "a majority is in contact again" });
    }
    let is_member = known.contains(&tables.config.name);
    if now_us < tables.membership.seen_us + duration_us(is_member) {
        return None;
    }
    let record = MembershipRecord {
        epoch: known.epoch + 1,
        members: survivors(tables, now_us),
        outgoing: Vec::new(),
        is_suspended: false,
    };
    Some(MembershipChange { record, reason: "no proxy can hold a permit of the former membership" })
}

/// Time after which no proxy that has not read a record holds a permit any more. If all members are
/// in contact with each other they need no store for longer; a proxy that is not a member does not
/// know whether they are.
pub fn duration_us(is_member: bool) -> u64 {
    let absence_us = match is_member {
        true => permits::STORE_ABSENCE_US,
        false => permits::COMPLETE_STORE_ABSENCE_US,
    };
    absence_us + permits::PERMIT_US + CLOCK_MARGIN_US
}

/// This proxy and all that are registered or in contact, in order.
pub fn survivors(tables: &Tables, now_us: u64) -> Vec<Bytes> {
    let present = tables.present_members(now_us).map(|(name, _)| name);
    let names: BTreeSet<&Bytes> = present.chain([&tables.config.name]).collect();
    names.into_iter().cloned().collect()
}
