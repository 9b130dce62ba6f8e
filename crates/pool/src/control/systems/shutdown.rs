//! Graceful end of the process.

use super::super::tables::{Stopping, Tables};
use super::super::{Action, StateChange, StoreCall};

/// Time for the balancer to ask twice and stop sending new connections.
const BALANCER_US: u64 = 2_300_000;
/// Time before the kill at which the process ends by itself.
const RESERVE_US: u64 = 300_000;
/// Time after which the end of the lease is given up.
const TIMEOUT_US: u64 = 500_000;

pub fn start(tables: &mut Tables, now_us: u64) {
    if tables.stopping.is_some() {
        return;
    }
    let grace_us = tables.config.grace_us;
    tables.stopping = Some(Stopping { exit_us: now_us + grace_us.saturating_sub(RESERVE_US) });
    let close_idle_us = BALANCER_US.min(grace_us / 2);
    tables.actions.push(Action::StopTraffic {
        close_idle_us: now_us + close_idle_us,
        abort_us: now_us + grace_us / 2 + RESERVE_US,
    });
    tables.changes.push(StateChange::Stopping { close_idle_ms: close_idle_us / 1000 });
}

/// The last session has ended.
pub fn finish(tables: &mut Tables) {
    tables.stopping = Some(Stopping { exit_us: 0 });
}

pub fn run(tables: &mut Tables, now_us: u64) {
    let Some(stopping) = tables.stopping else { return };
    if now_us < stopping.exit_us {
        return;
    }
    if let Some(lease) = tables.registration.lease.take() {
        tables.call_store(StoreCall::RevokeLease { lease }, now_us + TIMEOUT_US);
    }
    tables.actions.push(Action::Exit);
}
