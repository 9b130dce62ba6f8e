//! Applies promotion records, from the store and from other proxies.

use bytes::Bytes;
use flamingorock_core::{Position, Term};

use super::super::replica_set_state::{KnownRecord, ReplicaSetState};
use super::super::tables::{Tables, display_name};
use super::super::{Action, PeerMessage, PromotionRecord, PromotionState, SilentPeer, StateChange};
use super::claims;

/// Applies a record if it is newer than the known one.
pub fn apply(
    tables: &mut Tables,
    name: &Bytes,
    record: PromotionRecord,
    revision: u64,
    source: &'static str,
    now_us: u64,
) {
    let set =
        tables.replica_sets.entry(name.clone()).or_insert_with(|| ReplicaSetState::new(now_us));
    if let Some(known) = &mut set.record {
        // The revision comes only from the store, also when another proxy has sent a newer record.
        known.revision = known.revision.max(revision);
        if record.order() <= known.record.order() {
            return;
        }
    }
    claims::drop_superseded(tables, name, &record);
    if let PromotionState::Done { .. } = record.state {
        claims::take_failover(tables, name);
    }
    let Some(set) = tables.replica_sets.get_mut(name) else { return };
    let revision = revision.max(set.record.as_ref().map_or(0, |known| known.revision));
    let since_us = set.claim().map(|claim| claim.seen_us);
    match &record.state {
        PromotionState::Claimed { term, .. } => tables.changes.push(StateChange::PrimaryHeld {
            replica_set: display_name(name),
            fencing_token: record.fencing_token,
            holder: display_name(&record.holder),
            term: term.0,
        }),
        PromotionState::Done { instance, term } => {
            if let Some(since_us) = since_us {
                set.failover_duration_us =
                    (set.failover_duration_us + now_us.saturating_sub(since_us)) / 2;
            }
            tables.changes.push(StateChange::Primary {
                replica_set: display_name(name),
                instance: display_name(instance),
                term: term.0,
                source,
            });
            set.set_primary(instance.clone(), *term, now_us);
            set.primary_seen_us = now_us;
            // The traffic thread uses the new primary from here on. After a claim alone, the old
            // primary stays unused.
            set.quiesced_term = None;
        }
    }
    set.claim_due_us = None;
    set.lag_check = None;
    set.record = Some(KnownRecord { record, revision, seen_us: now_us });
    tables.is_view_outdated = true;
    tables.is_gossip_due = true;
}

/// Handles the traffic thread's report that it no longer uses the old primary.
pub fn primary_quiesced(
    tables: &mut Tables,
    name: &Bytes,
    term: Term,
    position: Option<Position>,
    now_us: u64,
) {
    let Some(set) = tables.replica_sets.get_mut(name) else { return };
    if term != set.term() {
        return;
    }
    set.quiesced_term = Some(term);
    set.last_position = position;
    tables.changes.push(StateChange::ProxyStopped {
        replica_set: display_name(name),
        proxy: display_name(&tables.config.name),
        position: format!("{position:?}"),
    });
    if let Some(failover) = &mut set.failover {
        failover.last_position = failover.last_position.max(position);
    }
    acknowledge_claim(tables, name, now_us);
}

/// Members that this proxy is out of contact with. A member that it has never heard counts as heard
/// at the start: an earlier run of this proxy may have heard it until then.
fn silent_peers(tables: &Tables, now_us: u64) -> Vec<SilentPeer> {
    let Some(record) = &tables.membership.record else { return Vec::new() };
    let started_us = tables.membership.started_us;
    let others = record.names().into_iter().filter(|name| **name != tables.config.name);
    others
        .filter_map(|name| {
            let member = tables.members.get(name);
            if member.is_some_and(|member| member.is_in_contact(now_us)) {
                return None;
            }
            let heard_us = member.map_or(0, |member| member.last_heartbeat_us).max(started_us);
            let silent_ms = now_us.saturating_sub(heard_us) / 1000;
            let silent_ms = u32::try_from(silent_ms).unwrap_or(u32::MAX);
            Some(SilentPeer { proxy: name.clone(), silent_ms })
        })
        .collect()
}

/// Sends the holder of a claim a stop acknowledgement, if this proxy has stopped.
pub fn acknowledge_claim(tables: &mut Tables, name: &Bytes, now_us: u64) {
    let Some(set) = tables.replica_sets.get(name) else { return };
    let Some(claim) = set.claim() else { return };
    if set.quiesced_term != Some(set.term()) || claim.record.holder == tables.config.name {
        return;
    }
    let Some(holder) = tables.members.get(&claim.record.holder) else { return };
    let message = PeerMessage::StopAck {
        from: tables.config.name.clone(),
        replica_set: name.clone(),
        fencing_token: claim.record.fencing_token,
        position: set.last_position,
        epoch: tables.membership.epoch(),
        silent_peers: silent_peers(tables, now_us),
    };
    tables.actions.push(Action::Send { address: holder.address, message });
}
