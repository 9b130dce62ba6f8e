//! Tracks whether any proxy can still use a primary that is being replaced.

use bytes::Bytes;
use flamingorock_core::Position;

use super::super::failover::Failover;
use super::super::tables::{Tables, display_name};
use super::super::{MembershipRecord, SilentPeer, StateChange};
use super::failovers::with_failover;
use super::permits;

/// Allowance for different clock rates of two hosts and for messages in transit.
const CLOCK_MARGIN_US: u64 = 200_000;

/// Confirmation of another proxy that it has stopped using the old primary.
pub struct StopAck {
    pub from: Bytes,
    pub position: Option<Position>,
    /// Epoch of the membership that the sender knows.
    pub epoch: u64,
    pub silent_peers: Vec<SilentPeer>,
}

/// Records a stop acknowledgement.
pub fn received(tables: &mut Tables, ack: StopAck, name: &Bytes, fencing_token: u64, now_us: u64) {
    let record = tables.membership.record.as_ref();
    let names = record.map(MembershipRecord::names).unwrap_or_default();
    let others: Vec<Bytes> = names.into_iter().cloned().collect();
    let is_new = with_failover(tables, name, |_, failover| {
        let is_new = failover.fencing_token == fencing_token
            && !failover.stopped_proxies.contains(&ack.from);
        if is_new {
            failover.stopped_proxies.push(ack.from.clone());
            failover.last_position = failover.last_position.max(ack.position);
            failover.newest_epoch = failover.newest_epoch.max(ack.epoch);
            failover.next_step_us = 0;
            record_contacts(failover, others, &ack, now_us);
        }
        is_new
    });
    if is_new == Some(true) {
        tables.changes.push(StateChange::ProxyStopped {
            replica_set: display_name(name),
            proxy: display_name(&ack.from),
            position: format!("{:?}", ack.position),
        });
    }
}

/// Records when the sender last had contact with each proxy. A proxy that it does not list is in
/// contact with it.
fn record_contacts(failover: &mut Failover, others: Vec<Bytes>, ack: &StopAck, now_us: u64) {
    for proxy in others {
        let peer = ack.silent_peers.iter().find(|peer| peer.proxy == proxy);
        let silent_us = peer.map_or(0, |peer| u64::from(peer.silent_ms) * 1000);
        let heard_us = failover.last_heard_us.entry(proxy).or_default();
        *heard_us = (*heard_us).max(now_us.saturating_sub(silent_us));
    }
}

/// Whether no proxy can use the old primary any more. Requires the acknowledgements of majorities of
/// a membership that is at least as new as those that they were sent under.
pub fn have_all_stopped(tables: &Tables, name: &Bytes, failover: &Failover, now_us: u64) -> bool {
    let Some(set) = tables.replica_sets.get(name) else { return false };
    let Some(record) = tables.membership.active_record() else { return false };
    let is_unused_here = set.quiesced_term == Some(set.term()) || failover.old_primary.is_none();
    let has_stopped =
        |proxy: &Bytes| *proxy == tables.config.name || failover.stopped_proxies.contains(proxy);
    is_unused_here
        && failover.newest_epoch <= record.epoch
        && record.is_majority(has_stopped)
        && record
            .names()
            .into_iter()
            .all(|proxy| has_stopped(proxy) || has_permit_expired(tables, failover, proxy, now_us))
}

/// Whether the permit of a silent proxy has expired. A permit requires contact with a majority,
/// which includes at least one of the proxies that have stopped; none of them has had contact with
/// the silent proxy for the validity of a permit.
fn has_permit_expired(tables: &Tables, failover: &Failover, proxy: &Bytes, now_us: u64) -> bool {
    let heard_here_us = tables.members.get(proxy).map_or(0, |member| member.last_heartbeat_us);
    let heard_by_others_us = failover.last_heard_us.get(proxy).copied().unwrap_or_default();
    let heard_us = heard_here_us.max(heard_by_others_us).max(tables.membership.started_us);
    now_us > heard_us + permits::PERMIT_US + CLOCK_MARGIN_US
}
