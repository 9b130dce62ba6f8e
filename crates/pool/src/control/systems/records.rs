//! Promotion records of all proxies.

use bytes::Bytes;
use flamingorock_core::{Position, Term};

use super::super::known_primary::KnownPrimary;
use super::super::replica_set_state::{KnownRecord, ReplicaSetState};
use super::super::tables::{Tables, text};
use super::super::{Action, PeerMessage, PromotionRecord, PromotionState, SilentPeer, StateChange};

/// Applies a record that is newer than the known one.
pub fn apply(
    tables: &mut Tables,
    name: &Bytes,
    record: PromotionRecord,
    revision: u64,
    source: &'static str,
    now_us: u64,
) {
    let set = tables.sets.entry(name.clone()).or_insert_with(|| ReplicaSetState::new(now_us));
    if let Some(known) = &mut set.record {
        // The revision is the store's, whatever another proxy has told since.
        known.revision = known.revision.max(revision);
        if record.order() <= known.record.order() {
            return;
        }
    }
    let revision = revision.max(set.record.as_ref().map_or(0, |known| known.revision));
    let since_us = set.claim().map(|claim| claim.seen_us);
    match &record.state {
        PromotionState::Claimed { term, .. } => tables.changes.push(StateChange::PrimaryHeld {
            replica_set: text(name),
            fencing_token: record.fencing_token,
            holder: text(&record.holder),
            term: term.0,
        }),
        PromotionState::Done { instance, term } => {
            if let Some(since_us) = since_us {
                set.failover_duration_us =
                    (set.failover_duration_us + now_us.saturating_sub(since_us)) / 2;
            }
            tables.changes.push(StateChange::Primary {
                replica_set: text(name),
                instance: text(instance),
                term: term.0,
                source,
            });
            set.known_primary = KnownPrimary::Leader { instance: instance.clone(), term: *term };
            set.lost_since_us = None;
            set.heard_us = now_us;
            set.failover = None;
            // The traffic thread uses the new primary; a claim alone leaves the old one unused.
            set.quiet_term = None;
        }
    }
    set.claim_us = None;
    set.lag_check = None;
    set.record = Some(KnownRecord { record, revision, seen_us: now_us });
    tables.is_changed = true;
    tables.is_urgent = true;
}

/// The traffic thread uses a held primary no longer.
pub fn quiet(
    tables: &mut Tables,
    name: &Bytes,
    term: Term,
    position: Option<Position>,
    now_us: u64,
) {
    let Some(set) = tables.sets.get_mut(name) else { return };
    if term != set.term() {
        return;
    }
    set.quiet_term = Some(term);
    set.last_position = position;
    tables.changes.push(StateChange::ProxyStopped {
        replica_set: text(name),
        proxy: text(&tables.config.name),
        position: format!("{position:?}"),
    });
    if let Some(failover) = &mut set.failover {
        failover.last_position = failover.last_position.max(position);
    }
    answer_claim(tables, name, now_us);
}

/// Proxies that this one is not in contact with.
fn silent_peers(tables: &Tables, now_us: u64) -> Vec<SilentPeer> {
    tables
        .members
        .iter()
        .filter(|(_, member)| !member.is_in_contact(now_us))
        .map(|(proxy, member)| {
            let silent_ms = now_us.saturating_sub(member.heard_us) / 1000;
            let silent_ms = u32::try_from(silent_ms).unwrap_or(u32::MAX);
            SilentPeer { proxy: proxy.clone(), silent_ms }
        })
        .collect()
}

/// Tells the holder of a claim that this proxy has stopped, if it has.
pub fn answer_claim(tables: &mut Tables, name: &Bytes, now_us: u64) {
    let Some(set) = tables.sets.get(name) else { return };
    let Some(claim) = set.claim() else { return };
    if set.quiet_term != Some(set.term()) || claim.record.holder == tables.config.name {
        return;
    }
    let Some(holder) = tables.members.get(&claim.record.holder) else { return };
    let message = PeerMessage::StopAck {
        from: tables.config.name.clone(),
        replica_set: name.clone(),
        fencing_token: claim.record.fencing_token,
        position: set.last_position,
        silent_peers: silent_peers(tables, now_us),
    };
    tables.actions.push(Action::Send { address: holder.address, message });
}
