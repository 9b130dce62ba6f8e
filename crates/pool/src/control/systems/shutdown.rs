//! Graceful shutdown of the process.

use super::super::tables::{Stopping, Tables};
use super::super::{Action, StateChange, StoreCall};

/// Time for the load balancer to run two readiness checks and stop sending new connections.
const LOAD_BALANCER_US: u64 = 2_300_000;
/// How long before the platform's kill the process exits by itself.
const EXIT_RESERVE_US: u64 = 300_000;
/// Time after which the call that revokes the lease is abandoned.
const LEASE_TIMEOUT_US: u64 = 500_000;

pub fn start(tables: &mut Tables, now_us: u64) {
    if tables.stopping.is_some() {
        return;
    }
    let grace_us = tables.config.grace_us;
    tables.stopping = Some(Stopping { exit_us: now_us + grace_us.saturating_sub(EXIT_RESERVE_US) });
    let close_idle_us = LOAD_BALANCER_US.min(grace_us / 2);
    tables.actions.push(Action::StopTraffic {
        close_idle_us: now_us + close_idle_us,
        abort_us: now_us + grace_us / 2 + EXIT_RESERVE_US,
    });
    tables.changes.push(StateChange::Stopping { close_idle_ms: close_idle_us / 1000 });
}

/// Handles the end of the last session: the process can exit at once.
pub fn sessions_ended(tables: &mut Tables) {
    tables.stopping = Some(Stopping { exit_us: 0 });
}

pub fn run(tables: &mut Tables, now_us: u64) {
    let Some(stopping) = tables.stopping else { return };
    if now_us < stopping.exit_us {
        return;
    }
    if let Some(lease) = tables.registration.lease.take() {
        tables.call_store(StoreCall::RevokeLease { lease }, now_us + LEASE_TIMEOUT_US);
    }
    tables.actions.push(Action::Exit);
}
