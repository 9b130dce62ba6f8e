//! Sends and receives heartbeats between proxies.

use bytes::Bytes;
use flamingorock_core::Term;

use super::super::member::Member;
use super::super::replica_set_state::ReplicaSetState;
use super::super::tables::Tables;
use super::super::{Action, Heartbeat, PeerMessage, PositionSample};
use super::{instance_relay, members, membership, mirror, position_samples, set_reports};
use crate::rendezvous;

/// Heartbeat interval in a small fleet.
const INTERVAL_US: u64 = 250_000;
/// Heartbeat interval in a fleet of more than [`SMALL_FLEET`] proxies.
const LARGE_INTERVAL_US: u64 = 400_000;
/// Largest number of proxies that counts as a small fleet.
const SMALL_FLEET: usize = 10;
/// Average number of proxies that hear of news at once.
const GOSSIP_FANOUT: u32 = 8;
/// Time for the traffic thread to probe a primary before this proxy reports on it.
const PROBE_US: u64 = 40_000;

pub fn receive(tables: &mut Tables, heartbeat: Heartbeat, now_us: u64) {
    tables.reported_configuration_version =
        tables.reported_configuration_version.max(heartbeat.configuration_version);
    tables.mirror.reported_revision = tables.mirror.reported_revision.max(heartbeat.store_revision);
    set_reports::apply(tables, &heartbeat, now_us);
    let unreachable_sets: Vec<Bytes> = heartbeat
        .reports
        .iter()
        .filter(|report| report.is_primary_unreachable)
        .map(|report| report.replica_set.clone())
        .collect();
    send_missing_records(tables, &heartbeat);
    members::add_sender(tables, &heartbeat);
    instance_relay::send_instances(tables, &heartbeat, now_us);
    let Some(member) = tables.members.get_mut(&heartbeat.from) else { return };
    if heartbeat.incarnation < member.incarnation {
        return;
    }
    if heartbeat.incarnation > member.incarnation {
        *member = member.restarted(member.address, heartbeat.incarnation);
    }
    if heartbeat.sequence <= member.last_sequence {
        return;
    }
    if member.last_sequence == 0 {
        // Sends a heartbeat back at once, so that a proxy that has just started gets its permit
        // quickly.
        member.extra_heartbeat_due_us = Some(now_us);
    }
    member.last_heartbeat_us = now_us;
    member.last_sequence = heartbeat.sequence;
    member.is_store_unreachable = heartbeat.is_store_unreachable;
    member.record_epoch(heartbeat.epoch, now_us);
    if heartbeat.sets_base_version <= member.received_sets_version {
        member.received_sets_version = heartbeat.sets_version;
        apply_confirmation(tables, &heartbeat, now_us);
    }
    let Some(member) = tables.members.get_mut(&heartbeat.from) else { return };
    // An earlier run of this proxy had versions of its own.
    if heartbeat.echo >= tables.config.incarnation {
        member.confirmed_sets_version = heartbeat.sets_version_echo;
    }
    // The heartbeat was sent after its sender had received the one that it echoes.
    let echoed_us = member.sent_us(heartbeat.echo);
    let had_lost_sets =
        member.reports.iter().any(|received| received.report.is_primary_unreachable);
    member.record_reports(heartbeat.reports, now_us);
    if !unreachable_sets.is_empty() && !had_lost_sets {
        member.extra_heartbeat_due_us = Some(now_us + PROBE_US);
        for replica_set in unreachable_sets {
            tables.actions.push(Action::ProbePrimary { replica_set });
        }
    }
    if let (Some(sample), Some(echoed_us)) = (heartbeat.sample, echoed_us) {
        position_samples::received(tables, sample, echoed_us);
    }
}

/// Applies what a heartbeat confirms. It counts only if this proxy now knows what the sender knows,
/// claims and the membership above all.
fn apply_confirmation(tables: &mut Tables, heartbeat: &Heartbeat, now_us: u64) {
    if let Some(record) = &heartbeat.membership {
        membership::learn(tables, record.clone(), "another proxy", now_us);
    }
    if heartbeat.epoch > tables.membership.epoch() {
        return mirror::watch_at_once(tables, now_us);
    }
    let Some(member) = tables.members.get_mut(&heartbeat.from) else { return };
    member.confirm(heartbeat.echo);
    // The heartbeat was sent after its sender had received the one that it echoes.
    if let Some(echoed_us) = member.sent_us(heartbeat.echo) {
        let age_us = u64::from(heartbeat.membership_age_ms) * 1000;
        membership::covered_by_another(tables, echoed_us.saturating_sub(age_us));
    }
}

/// Sends promotion records that the sender appears to lack, and primaries that it does not know.
fn send_missing_records(tables: &mut Tables, heartbeat: &Heartbeat) {
    let Some(member) = tables.members.get(&heartbeat.from) else { return };
    for report in &heartbeat.reports {
        let Some(set) = tables.replica_sets.get(&report.replica_set) else { continue };
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

/// A message that names the primary, if this proxy knows and reaches it.
fn found_primary(name: &Bytes, set: &ReplicaSetState) -> Option<PeerMessage> {
    let (instance, term) = set.primary()?;
    let is_usable = set.unreachable_since_us.is_none() && !set.is_replacing();
    is_usable.then(|| PeerMessage::Primary {
        replica_set: name.clone(),
        instance: instance.clone(),
        term,
    })
}

pub fn run(tables: &mut Tables, now_us: u64) {
    set_reports::note_changes(tables);
    let is_urgent = core::mem::take(&mut tables.is_heartbeat_urgent);
    let is_gossip_due = core::mem::take(&mut tables.is_gossip_due);
    let is_due = is_urgent || now_us >= tables.next_heartbeat_us;
    let is_due_to = |name: &Bytes, member: &Member| {
        is_due
            || member.extra_heartbeat_due_us.is_some_and(|due_us| due_us <= now_us)
            || (is_gossip_due && is_gossip_peer(tables, name))
    };
    let due: Vec<Bytes> = tables
        .members
        .iter()
        .filter(|(name, member)| is_due_to(name, member))
        .map(|(name, _)| name.clone())
        .collect();
    if due.is_empty() && !is_due {
        return;
    }
    let sample = position_samples::next_sample(tables, now_us);
    for name in due {
        send(tables, &name, &sample, now_us);
    }
    if is_due {
        let is_small = tables.members.len() < SMALL_FLEET;
        tables.next_heartbeat_us = now_us + if is_small { INTERVAL_US } else { LARGE_INTERVAL_US };
    }
}

/// Whether a proxy is among those that hear of news at once. The others hear of it from these and
/// with the next regular heartbeat.
fn is_gossip_peer(tables: &Tables, name: &Bytes) -> bool {
    let proxies = u32::try_from(tables.members.len()).unwrap_or(u32::MAX);
    let round = Bytes::copy_from_slice(&tables.heartbeat_sequence.to_le_bytes());
    proxies <= GOSSIP_FANOUT || rendezvous::is_selected(&round, name, GOSSIP_FANOUT, proxies)
}

fn send(tables: &mut Tables, name: &Bytes, sample: &Option<PositionSample>, now_us: u64) {
    tables.heartbeat_sequence += 1;
    let Some(member) = tables.members.get(name) else { return };
    let reports = set_reports::reports_since(tables, member.confirmed_sets_version, now_us);
    let membership = membership::missing_record(tables, name, member, now_us);
    let age_us = now_us.saturating_sub(tables.membership.covered_us);
    let membership_age_ms = u32::try_from(age_us.div_ceil(1000)).unwrap_or(u32::MAX);
    let Some(member) = tables.members.get_mut(name) else { return };
    member.record_sent(tables.heartbeat_sequence, now_us);
    member.extra_heartbeat_due_us = None;
    // Whoever has not read the store since its start may lack what an earlier run knew.
    let echo = if tables.mirror.is_complete { member.last_sequence } else { 0 };
    let heartbeat = Heartbeat {
        from: tables.config.name.clone(),
        address: tables.config.peer_address,
        incarnation: tables.config.incarnation,
        sequence: tables.heartbeat_sequence,
        echo,
        epoch: tables.membership.epoch(),
        membership,
        membership_age_ms,
        configuration_version: tables.configuration.version,
        is_store_unreachable: tables.mirror.is_store_unreachable,
        store_revision: tables.mirror.newest_revision,
        reports,
        sets_base_version: member.confirmed_sets_version,
        sets_version: tables.sets_version,
        sets_version_echo: member.received_sets_version,
        sample: sample.clone(),
    };
    let message = PeerMessage::Heartbeat(heartbeat);
    tables.actions.push(Action::Send { address: member.address, message });
}
