//! Extends the permit to use primaries.

use bytes::Bytes;

use super::super::tables::Tables;
use super::super::{MembershipRecord, StateChange};

/// How long a permit is valid after a majority has confirmed contact, which shows that this proxy
/// has missed no claim. The holder of a claim waits as long for proxies that do not acknowledge it.
pub const PERMIT_US: u64 = 1_300_000;
/// How long a permit is extended after the last time before which no newer membership can have been
/// written. A proxy that reaches the store but no majority waits as long before it changes the
/// membership alone. Longer than the outages of the store that are to be expected while a member is
/// missing, and short enough for a fleet that has lost most of its hosts.
pub const STORE_ABSENCE_US: u64 = 15_000_000;
/// The same while every member confirms contact, as none of them has changed the membership then.
pub const COMPLETE_STORE_ABSENCE_US: u64 = 60_000_000;

pub fn run(tables: &mut Tables, now_us: u64) {
    if !tables.mirror.is_complete {
        return;
    }
    if let Some(expires_us) = permit_expires_us(tables, now_us) {
        tables.config.permit.extend(expires_us);
    }
    record_change(tables, now_us);
}

/// Whether a permit could be extended now. Without it this proxy may be the partitioned one, and it
/// must not claim a failover.
pub fn has_majority(tables: &Tables, now_us: u64) -> bool {
    permit_expires_us(tables, now_us).is_some_and(|expires_us| now_us < expires_us)
}

/// Whether a majority of the members has confirmed contact lately, also if the membership is
/// suspended.
pub fn is_majority_in_contact(tables: &Tables, now_us: u64) -> bool {
    let record = tables.membership.record.as_ref();
    let confirmed_us = record.and_then(|record| majority_confirmed_us(tables, record, now_us));
    confirmed_us.is_some_and(|confirmed_us| now_us < confirmed_us + PERMIT_US)
}

/// Until when this proxy may use primaries under the agreed membership.
fn permit_expires_us(tables: &Tables, now_us: u64) -> Option<u64> {
    let record = tables.membership.active_record()?;
    if !record.contains(&tables.config.name) {
        return None;
    }
    let confirmed_us = majority_confirmed_us(tables, record, now_us)?;
    let is_confirmed = |name: &&Bytes| now_us < confirmed_us_of(tables, name, now_us) + PERMIT_US;
    let absence_us = match record.names().iter().all(is_confirmed) {
        true => COMPLETE_STORE_ABSENCE_US,
        false => STORE_ABSENCE_US,
    };
    Some((confirmed_us + PERMIT_US).min(tables.membership.covered_us + absence_us))
}

/// Latest time at which majorities of the membership are known to have received a heartbeat of this
/// proxy. Each of these proxies forwards the claims that it knows.
fn majority_confirmed_us(tables: &Tables, record: &MembershipRecord, now_us: u64) -> Option<u64> {
    record.majority_time_us(|name| confirmed_us_of(tables, name, now_us))
}

fn confirmed_us_of(tables: &Tables, name: &Bytes, now_us: u64) -> u64 {
    match tables.members.get(name) {
        _ if *name == tables.config.name => now_us,
        Some(member) => member.confirmed_us,
        None => 0,
    }
}

fn record_change(tables: &mut Tables, now_us: u64) {
    let holds = tables.config.permit.is_valid(now_us);
    if holds == tables.had_permit {
        return;
    }
    tables.had_permit = holds;
    let epoch = tables.membership.epoch();
    let members = tables.membership.record.as_ref().map_or(0, |record| record.members.len());
    let read_ms = now_us.saturating_sub(tables.membership.covered_us) / 1000;
    tables.changes.push(match holds {
        true => StateChange::PermitRegained { members, epoch, read_ms },
        false => StateChange::PermitLost { members, epoch, read_ms },
    });
}
