//! Extends the permit to use primaries.

use super::super::StateChange;
use super::super::tables::Tables;

/// How long a permit is valid after a majority has confirmed contact, which shows that this proxy
/// has missed no claim. The holder of a claim waits as long for proxies that do not acknowledge it.
pub const PERMIT_US: u64 = 1_300_000;

pub fn run(tables: &mut Tables, now_us: u64) {
    if !tables.mirror.is_complete {
        return;
    }
    if let Some(confirmed_us) = majority_confirmed_us(tables, now_us) {
        tables.config.permit.extend(confirmed_us + PERMIT_US);
    }
    record_change(tables, now_us);
}

/// Whether a majority of the fleet had contact with this proxy within the validity of a permit.
/// Without it this proxy may be the partitioned one, and it must not claim a failover.
pub fn has_majority(tables: &Tables, now_us: u64) -> bool {
    majority_confirmed_us(tables, now_us)
        .is_some_and(|confirmed_us| now_us < confirmed_us + PERMIT_US)
}

/// Latest time at which a majority of the fleet is known to have received a heartbeat of this
/// proxy. Each of these proxies forwards the claims that it knows.
fn majority_confirmed_us(tables: &Tables, now_us: u64) -> Option<u64> {
    let mut confirmed: Vec<u64> =
        tables.members.values().map(|member| member.confirmed_us).collect();
    confirmed.push(now_us);
    confirmed.sort_unstable_by(|a, b| b.cmp(a));
    let majority = confirmed.len() / 2;
    confirmed.get(majority).copied().filter(|confirmed_us| *confirmed_us > 0)
}

fn record_change(tables: &mut Tables, now_us: u64) {
    let holds = tables.config.permit.is_valid(now_us);
    if holds == tables.had_permit {
        return;
    }
    tables.had_permit = holds;
    let members = tables.members.len() + 1;
    tables.changes.push(match holds {
        true => StateChange::PermitRegained { members },
        false => StateChange::PermitLost { members },
    });
}
