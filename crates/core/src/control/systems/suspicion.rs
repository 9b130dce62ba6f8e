//! Marks peers as suspected when their suspicion timeout expires.

use super::heartbeat_receiver::recheck_dependents;
use crate::control::StateChange;
use crate::control::tables::{HostState, Tables};

pub(crate) fn run(tables: &mut Tables) {
    let now_us = tables.now_us;
    for host in tables.timers.suspicion.take_expired(now_us) {
        let Some(row) = tables.hosts.get_mut(host) else { continue };
        let suspect_at_us = row.suspect_at_us();
        if suspect_at_us > now_us {
            tables.timers.suspicion.set(host, suspect_at_us);
            continue;
        }
        row.state = HostState::Suspected;
        tables.counters.suspicions += 1;
        tables.log(StateChange::HostSuspected { host });
        recheck_dependents(tables);
        for &database in tables.routes_by_owner.get(&host).into_iter().flatten() {
            tables.timers.route.set(database, now_us);
        }
    }
}
