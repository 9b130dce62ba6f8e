//! Hands over the ownership of databases to their standby.

use super::ownership;
use crate::control::Action;
use crate::control::tables::{OwnedDatabase, Phase, Tables, Transfer};
use crate::message::ControlMessage;
use crate::{DatabaseId, HostId};

/// Time without a majority of the instances after which the database is offered to the standby,
/// which may be able to reach more of them.
const MINORITY_TIMEOUT_US: u64 = 2_000_000;
/// The same for an owner that has never reached a majority. With the shorter timeout, a database
/// without a working majority would change its owner every 2 s.
const NEVER_MAJORITY_TIMEOUT_US: u64 = 10_000_000;
/// Interval at which an offer is repeated until a heartbeat of the standby shows that it took over.
const OFFER_INTERVAL_US: u64 = 200_000;

pub(crate) fn run(tables: &mut Tables) {
    for database in tables.due_owned.clone() {
        advance(tables, database);
        offer_for_majority(tables, database);
    }
}

/// Advances a handover: waits until the database is quiescent or the deadline has passed, then
/// offers it to the standby.
fn advance(tables: &mut Tables, database: DatabaseId) {
    let now_us = tables.now_us;
    let Some(owned) = tables.owned.get_mut(&database) else { return };
    let is_open = matches!(owned.phase, Phase::Open { .. });
    let Some(Transfer::Handover { deadline_us, quiescent, next_offer_us }) = &mut owned.transfer
    else {
        return;
    };
    if is_open && !*quiescent && now_us < *deadline_us {
        tables.timers.owned.set_if_earlier(database, *deadline_us);
        return;
    }
    if tables.draining && tables.hosts.first_eligible(database).is_none() {
        ownership::release(tables, database);
        return;
    }
    if now_us >= *next_offer_us {
        *next_offer_us = now_us + OFFER_INTERVAL_US;
        send_offer(tables, database);
    }
    tables.timers.owned.set_if_earlier(database, now_us + OFFER_INTERVAL_US);
}

fn offer_for_majority(tables: &mut Tables, database: DatabaseId) {
    let now_us = tables.now_us;
    let Some(owned) = tables.owned.get_mut(&database) else { return };
    let Some(since_us) = minority_since_us(owned) else { return };
    let timeout_us =
        if owned.had_majority { MINORITY_TIMEOUT_US } else { NEVER_MAJORITY_TIMEOUT_US };
    let due_us = (since_us + timeout_us).max(owned.next_offer_us);
    if now_us < due_us {
        tables.timers.owned.set_if_earlier(database, due_us);
        return;
    }
    owned.next_offer_us = now_us + MINORITY_TIMEOUT_US;
    tables.timers.owned.set_if_earlier(database, now_us + MINORITY_TIMEOUT_US);
    send_offer(tables, database);
}

/// Since when less than a majority of the instances has responded or could be fenced.
fn minority_since_us(owned: &OwnedDatabase) -> Option<u64> {
    match owned.phase {
        Phase::Open { .. } => owned.minority_since_us,
        Phase::Fencing { since_us, majority_at_us: None } => Some(since_us),
        _ => None,
    }
}

fn send_offer(tables: &mut Tables, database: DatabaseId) {
    let Some(owned) = tables.owned.get(&database) else { return };
    let Some(standby) = owned.standby.filter(|standby| tables.hosts.is_eligible(standby.host))
    else {
        return;
    };
    let from = tables.config.host;
    let message = ControlMessage::TakeOver { database, from, from_epoch: owned.epoch };
    tables.counters.handover_offers += 1;
    tables.actions.push(Action::SendMessage { to: standby.host, message });
}

/// Accepts a database from its owner if this host holds the epoch that the owner reserved for its
/// standby.
pub(crate) fn accept_offer(
    tables: &mut Tables,
    database: DatabaseId,
    from: HostId,
    from_epoch: u32,
) {
    if tables.draining || tables.owned.contains_key(&database) {
        return;
    }
    let Some(route) = tables.routes.get(&database) else { return };
    let Some(reservation) = route.reservation else { return };
    if reservation.from == from && reservation.from_epoch == from_epoch && route.epoch == from_epoch
    {
        ownership::take_over(tables, database, reservation.epoch);
    }
}
