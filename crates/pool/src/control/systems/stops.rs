//! Waits until no proxy uses a primary that is being replaced.

use bytes::Bytes;
use flamingorock_core::Position;

use super::super::tables::{Tables, text};
use super::super::takeover::Takeover;
use super::super::{Silence, StateChange};
use super::permits;
use super::takeovers::with;

/// Allowance for the clock rates of two hosts and for messages on their way.
const MARGIN_US: u64 = 200_000;

/// Another proxy's word that it has stopped using the old primary.
pub struct Stop {
    pub from: Bytes,
    pub position: Option<Position>,
    pub silences: Vec<Silence>,
}

/// Another proxy has stopped using the old primary.
pub fn stopped(tables: &mut Tables, stop: Stop, name: &Bytes, fencing_token: u64, now_us: u64) {
    let others: Vec<Bytes> = tables.members.keys().cloned().collect();
    let is_news = with(tables, name, |_, takeover| {
        let is_news =
            takeover.fencing_token == fencing_token && !takeover.stopped.contains(&stop.from);
        if is_news {
            takeover.stopped.push(stop.from.clone());
            takeover.last_position = takeover.last_position.max(stop.position);
            takeover.next_us = 0;
            note_heard(takeover, others, &stop, now_us);
        }
        is_news
    });
    if is_news == Some(true) {
        tables.changes.push(StateChange::Stopped {
            replica_set: text(name),
            proxy: text(&stop.from),
            position: format!("{:?}", stop.position),
        });
    }
}

/// Notes when the sender last heard each proxy. One that it does not name is in contact with it.
fn note_heard(takeover: &mut Takeover, others: Vec<Bytes>, stop: &Stop, now_us: u64) {
    for proxy in others {
        let silence = stop.silences.iter().find(|silence| silence.proxy == proxy);
        let silent_us = silence.map_or(0, |silence| u64::from(silence.silent_ms) * 1000);
        let heard_us = takeover.heard_us.entry(proxy).or_default();
        *heard_us = (*heard_us).max(now_us.saturating_sub(silent_us));
    }
}

/// Whether no proxy can use the old primary any more.
pub fn have_all_stopped(tables: &Tables, name: &Bytes, takeover: &Takeover, now_us: u64) -> bool {
    let Some(set) = tables.sets.get(name) else { return false };
    let own = set.quiet_term == Some(set.term()) || takeover.former.is_none();
    let fleet = tables.members.len() + 1;
    let has_majority = takeover.stopped.len() + 1 > fleet / 2;
    own && tables.members.iter().all(|(proxy, member)| {
        takeover.stopped.contains(proxy)
            || (has_majority && has_no_permit(takeover, proxy, member.heard_us, now_us))
    })
}

/// Whether a silent proxy's permit has expired. It needs a majority that hears it, and so at least
/// one of the proxies that have stopped; none of them has heard it for as long as a permit holds.
fn has_no_permit(takeover: &Takeover, proxy: &Bytes, heard_us: u64, now_us: u64) -> bool {
    let heard_us = takeover.heard_us.get(proxy).copied().unwrap_or_default().max(heard_us);
    now_us > heard_us + permits::PERMIT_US + MARGIN_US
}
