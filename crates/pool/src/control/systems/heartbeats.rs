//! Heartbeats between proxies.

use bytes::Bytes;
use flamingorock_core::Term;

use super::super::member::Member;
use super::super::replica_set_state::ReplicaSetState;
use super::super::tables::{Tables, text};
use super::super::{Action, Heartbeat, MemberRecord, PeerMessage, ReplicaSetReport, StateChange};
use super::{instance_relay, registration};

/// Interval of heartbeats in a small fleet.
const INTERVAL_US: u64 = 250_000;
/// Interval of heartbeats in a fleet of more than [`SMALL_FLEET`] proxies.
const LARGE_INTERVAL_US: u64 = 400_000;
/// Largest fleet that counts as small.
const SMALL_FLEET: usize = 10;
/// Time after which missing proxies no longer count for the majority. As half of the fleet or less
/// they cannot use a primary by themselves.
const MINORITY_KEPT_US: u64 = 3_000_000;
/// The same if they are more than half: cut off from the store, they may go on as a majority.
const MAJORITY_KEPT_US: u64 = 20_000_000;
/// Time for the traffic thread to probe a primary before its belief is reported.
const PROBE_US: u64 = 40_000;

/// A proxy's record is in the store.
pub fn list(tables: &mut Tables, name: Bytes, record: MemberRecord) {
    if name == tables.config.name {
        return;
    }
    let present = tables
        .members
        .get(&name)
        .filter(|member| {
            member.incarnation == record.incarnation && member.address == record.peer_address
        })
        .is_some();
    if !present {
        tables
            .changes
            .push(StateChange::MemberFound { name: text(&name), incarnation: record.incarnation });
        let member = Member::new(record.peer_address, record.incarnation);
        tables.members.insert(name.clone(), member);
        tables.is_urgent = true;
        tables.is_changed = true;
    }
    if let Some(member) = tables.members.get_mut(&name) {
        member.is_listed = true;
    }
}

/// A proxy's record has left the store.
pub fn unlist(tables: &mut Tables, name: &Bytes, now_us: u64) {
    if *name == tables.config.name {
        return registration::lost(tables);
    }
    if let Some(member) = tables.members.get_mut(name) {
        member.is_listed = false;
        member.unlisted_us = now_us;
        tables.is_changed = true;
    }
}

pub fn receive(tables: &mut Tables, heartbeat: Heartbeat, now_us: u64) {
    tables.reported_version = tables.reported_version.max(heartbeat.configuration_version);
    for report in &heartbeat.sets {
        if let Some(set) = tables.sets.get_mut(&report.replica_set)
            && report.fencing_token > set.fencing_token()
        {
            set.reported_fencing_token = report.fencing_token;
            tables.is_changed = true;
        }
    }
    let asks: Vec<Bytes> = heartbeat
        .sets
        .iter()
        .filter(|report| report.is_lost)
        .map(|report| report.replica_set.clone())
        .collect();
    inform(tables, &heartbeat);
    meet(tables, &heartbeat);
    instance_relay::send_instances(tables, &heartbeat, now_us);
    let Some(member) = tables.members.get_mut(&heartbeat.from) else { return };
    if heartbeat.incarnation < member.incarnation {
        return;
    }
    if heartbeat.incarnation > member.incarnation {
        let address = member.address;
        let is_listed = member.is_listed;
        *member = Member::new(address, heartbeat.incarnation);
        member.is_listed = is_listed;
    }
    if heartbeat.sequence <= member.heard_sequence {
        return;
    }
    if member.heard_us == 0 {
        // A proxy that has just started gets its permit with the first answers.
        member.answer_due_us = Some(now_us);
    }
    member.heard_us = now_us;
    member.heard_sequence = heartbeat.sequence;
    member.confirm(heartbeat.echo);
    let was_asked = member.reports.iter().any(|report| report.is_lost);
    member.reports = heartbeat.sets;
    if !asks.is_empty() && !was_asked {
        member.answer_due_us = Some(now_us + PROBE_US);
        for replica_set in asks {
            tables.actions.push(Action::ProbePrimary { replica_set });
        }
    }
}

/// Adds a sender that is not known. It may have been forgotten while it stood still, and the store may
/// be away, so that nothing else would bring it back.
fn meet(tables: &mut Tables, heartbeat: &Heartbeat) {
    if tables.members.contains_key(&heartbeat.from) || heartbeat.from == tables.config.name {
        return;
    }
    tables.changes.push(StateChange::MemberFound {
        name: text(&heartbeat.from),
        incarnation: heartbeat.incarnation,
    });
    let member = Member::new(heartbeat.address, heartbeat.incarnation);
    tables.members.insert(heartbeat.from.clone(), member);
    tables.is_changed = true;
}

/// Sends the sender the promotion records that it does not seem to have, and the primaries that it
/// searches.
fn inform(tables: &mut Tables, heartbeat: &Heartbeat) {
    let Some(member) = tables.members.get(&heartbeat.from) else { return };
    for report in &heartbeat.sets {
        let Some(set) = tables.sets.get(&report.replica_set) else { continue };
        let Some(known) = &set.record else {
            let message = found_primary(&report.replica_set, set);
            if let Some(message) = message.filter(|_| report.term == Term::default()) {
                tables.actions.push(Action::Send { address: member.address, message });
            }
            continue;
        };
        let is_behind = report.fencing_token < known.record.fencing_token
            || (report.term < set.term() && !known.record.is_claimed());
        if is_behind {
            let message = PeerMessage::Record {
                replica_set: report.replica_set.clone(),
                record: known.record.clone(),
            };
            tables.actions.push(Action::Send { address: member.address, message });
        }
    }
}

/// The primary that this proxy has found and reaches.
fn found_primary(name: &Bytes, set: &ReplicaSetState) -> Option<PeerMessage> {
    let (instance, term) = set.primary()?;
    let is_usable = set.lost_since_us.is_none() && !set.is_held();
    is_usable.then(|| PeerMessage::Primary {
        replica_set: name.clone(),
        instance: instance.clone(),
        term,
    })
}

pub fn run(tables: &mut Tables, now_us: u64) {
    forget_gone(tables, now_us);
    let is_due = now_us >= tables.heartbeat_us || core::mem::take(&mut tables.is_urgent);
    let due: Vec<Bytes> = tables
        .members
        .iter()
        .filter(|(_, member)| is_due || member.answer_due_us.is_some_and(|due_us| due_us <= now_us))
        .map(|(name, _)| name.clone())
        .collect();
    if due.is_empty() && !is_due {
        return;
    }
    let sets = set_reports(tables, now_us);
    for name in due {
        send(tables, &name, sets.clone(), now_us);
    }
    if is_due {
        let is_small = tables.members.len() < SMALL_FLEET;
        tables.heartbeat_us = now_us + if is_small { INTERVAL_US } else { LARGE_INTERVAL_US };
    }
}

fn send(tables: &mut Tables, name: &Bytes, sets: Vec<ReplicaSetReport>, now_us: u64) {
    tables.sequence += 1;
    let Some(member) = tables.members.get_mut(name) else { return };
    member.note_sent(tables.sequence, now_us);
    member.answer_due_us = None;
    let heartbeat = Heartbeat {
        from: tables.config.name.clone(),
        address: tables.config.peer_address,
        incarnation: tables.config.incarnation,
        sequence: tables.sequence,
        echo: member.heard_sequence,
        configuration_version: tables.configuration.version,
        lacks_store: tables.mirror.is_lost,
        sets,
    };
    let message = PeerMessage::Heartbeat(heartbeat);
    tables.actions.push(Action::Send { address: member.address, message });
}

fn set_reports(tables: &Tables, now_us: u64) -> Vec<ReplicaSetReport> {
    let report = |(name, set): (&Bytes, &ReplicaSetState)| {
        let age_ms = now_us.saturating_sub(set.heard_us) / 1000;
        ReplicaSetReport {
            replica_set: name.clone(),
            fencing_token: set.fencing_token(),
            term: set.term(),
            heard_age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
            is_lost: set.lost_since_us.is_some(),
        }
    };
    tables.sets.iter().map(report).collect()
}

/// Forgets proxies that are neither in the store nor in contact. They count for the majority until
/// then.
fn forget_gone(tables: &mut Tables, now_us: u64) {
    let missing = tables.members.values().filter(|member| !member.is_present(now_us)).count();
    let fleet = tables.members.len() + 1;
    let kept_us = if missing * 2 <= fleet { MINORITY_KEPT_US } else { MAJORITY_KEPT_US };
    let before = tables.members.len();
    let changes = &mut tables.changes;
    tables.members.retain(|name, member| {
        let gone_us = member.unlisted_us.max(member.heard_us);
        let is_kept = member.is_present(now_us) || now_us < gone_us + kept_us;
        if !is_kept {
            changes.push(StateChange::MemberLost { name: text(name) });
        }
        is_kept
    });
    if tables.members.len() != before {
        tables.is_changed = true;
    }
}
