//! Learns membership records, from the store and from heartbeats, and passes them on.

use bytes::Bytes;

use super::super::member::Member;
use super::super::tables::{Tables, display_name};
use super::super::{MembershipRecord, StateChange};
use crate::rendezvous;

/// Largest number of others to which every proxy sends the membership.
const SMALL_FLEET: u32 = 8;
/// Average number of proxies of a large fleet that send the membership to one that lacks it.
const MEMBERSHIP_SENDERS: u32 = 4;
/// Time for the proxies of a large fleet to learn of a membership from the store.
const MEMBERSHIP_PATIENCE_US: u64 = 300_000;

/// Applies the record that the store has.
pub fn apply_stored(tables: &mut Tables, record: MembershipRecord, revision: u64, now_us: u64) {
    if revision < tables.membership.stored_revision {
        return;
    }
    if record.defect().is_some() {
        learn(tables, record, "the store", now_us);
        return lost_in_store(tables, revision, true, now_us);
    }
    tables.membership.stored_revision = revision;
    tables.membership.stored_epoch = Some(record.epoch);
    tables.membership.unreadable_since_us = None;
    learn(tables, record, "the store", now_us);
}

/// Handles a record that is missing from the store or cannot be decoded. The known one stays in
/// force.
pub fn lost_in_store(tables: &mut Tables, revision: u64, is_unreadable: bool, now_us: u64) {
    let membership = &mut tables.membership;
    if revision < membership.stored_revision {
        return;
    }
    membership.stored_epoch = None;
    // A write on the condition that the item does not exist names revision 0.
    membership.stored_revision = if is_unreadable { revision } else { 0 };
    membership.unreadable_since_us =
        is_unreadable.then(|| membership.unreadable_since_us.unwrap_or(now_us));
}

/// Adopts a record that is newer than the known one. The sender's knowledge of the claims must have
/// been received before: whoever knows an epoch knows the claims that are older than it.
pub fn learn(tables: &mut Tables, record: MembershipRecord, source: &'static str, now_us: u64) {
    if record.epoch <= tables.membership.epoch() {
        return;
    }
    if let Some(defect) = record.defect() {
        tables.changes.push(StateChange::MembershipInvalid { epoch: record.epoch, defect });
        return;
    }
    let was_suspended = tables.membership.record.as_ref().is_some_and(|known| known.is_suspended);
    if was_suspended && !record.is_suspended {
        tables.membership.resumed_us = Some(now_us);
    }
    tables.changes.push(StateChange::Membership {
        epoch: record.epoch,
        members: record.members.len(),
        outgoing: record.outgoing.len(),
        is_suspended: record.is_suspended,
        is_member: record.contains(&tables.config.name),
        source,
    });
    tables.membership.record = Some(record);
    tables.membership.seen_us = now_us;
    tables.membership.change_since_us = None;
    tables.is_gossip_due = true;
}

/// Records that this proxy's reads of the store show every record written before a time.
pub fn read_up_to(tables: &mut Tables, read_us: u64) {
    let membership = &mut tables.membership;
    membership.read_us = membership.read_us.max(read_us);
    membership.covered_us = membership.covered_us.max(read_us);
}

/// Records that another proxy, whose epoch is not newer than the known one, knows every record
/// written before a time.
pub fn covered_by_another(tables: &mut Tables, covered_us: u64) {
    tables.membership.covered_us = tables.membership.covered_us.max(covered_us);
}

/// The membership, if the receiver lacks it. In a large fleet it usually learns of it from the store
/// first, and only a few proxies send it.
pub fn missing_record(
    tables: &Tables,
    name: &Bytes,
    member: &Member,
    now_us: u64,
) -> Option<MembershipRecord> {
    let proxies = u32::try_from(tables.members.len()).unwrap_or(u32::MAX);
    let is_late = now_us >= tables.membership.seen_us + MEMBERSHIP_PATIENCE_US;
    let is_sender = proxies <= SMALL_FLEET || (is_late && is_sender_to(tables, name, proxies));
    let record = tables.membership.record.as_ref();
    record.filter(|record| is_sender && member.epoch < record.epoch).cloned()
}

/// Whether this proxy is among those that send the membership to a proxy that lacks it.
fn is_sender_to(tables: &Tables, name: &Bytes, proxies: u32) -> bool {
    rendezvous::is_selected(name, &tables.config.name, MEMBERSHIP_SENDERS, proxies)
}

/// Names for the log.
pub fn display_names<'a>(names: impl Iterator<Item = &'a Bytes>) -> String {
    names.map(display_name).collect::<Vec<_>>().join(" ")
}
