//! Detects the failure of the primary of an open database.

use super::monitor;
use crate::control::StateChange;
use crate::control::tables::{OwnedDatabase, Phase, Tables};
use crate::{DatabaseId, InstanceRole};

/// Time after which a primary counts as failed if it responds to no status calls, or if none of its
/// replicas has heard from it.
const UNRESPONSIVE_TIMEOUT_US: u64 = 600_000;
/// Consecutive status calls with a refused or broken connection after which a primary counts as
/// failed. The first may be the loss of an established connection, so three mean at least two
/// refused connection attempts, at least 100 ms apart.
const CONNECTION_LOSS_THRESHOLD: u32 = 3;

/// Result of a health check of a primary.
enum PrimaryHealth {
    Healthy,
    /// Status calls are failing; check again at this time.
    CheckAt(u64),
    /// Failed, for the given reason.
    Failed(&'static str),
}

pub(crate) fn run(tables: &mut Tables) {
    let now_us = tables.now_us;
    for database in tables.due_owned.clone() {
        let Some(owned) = tables.owned.get_mut(&database) else { continue };
        let Phase::Open { primary } = owned.phase else { continue };
        update_majority(owned, now_us);
        match assess_primary(owned, primary, now_us) {
            PrimaryHealth::Healthy => {}
            PrimaryHealth::CheckAt(due_us) => {
                tables.timers.owned.set_if_earlier(database, due_us.max(now_us + 1));
            }
            PrimaryHealth::Failed(reason) => declare_failed(tables, database, primary, reason),
        }
        monitor::poll_faster(tables, database);
    }
}

/// Updates since when less than a majority of the instances has responded.
fn update_majority(owned: &mut OwnedDatabase, now_us: u64) {
    let answering = owned.instances.iter().filter(|state| state.is_responsive()).count();
    if answering >= owned.majority() {
        owned.had_majority = true;
        owned.minority_since_us = None;
    } else {
        owned.minority_since_us.get_or_insert(now_us);
    }
}

/// Checks the health of a primary. One that reports that it was replaced has failed. Otherwise it
/// is declared failed only while a majority responds without counting the primary: without one,
/// this host may be the one that is partitioned, and no other instance could be promoted.
fn assess_primary(owned: &OwnedDatabase, primary: u8, now_us: u64) -> PrimaryHealth {
    let state = &owned.instances[usize::from(primary)];
    let is_deposed = state.report.is_some_and(|report| {
        report.role != InstanceRole::Primary && report.accepted_term >= owned.term
    });
    if is_deposed && state.is_responsive() {
        return PrimaryHealth::Failed("it is no longer primary");
    }
    let others = || {
        let rows = owned.indices().zip(&owned.instances);
        rows.filter(|&(index, state)| index != primary && state.is_responsive())
            .map(|(_, state)| state)
    };
    if others().count() < owned.majority() {
        return PrimaryHealth::Healthy;
    }
    if state.connection_losses >= CONNECTION_LOSS_THRESHOLD {
        return PrimaryHealth::Failed("its connections are refused");
    }
    let is_silent = others().all(|replica| {
        replica
            .silent_since_us()
            .is_some_and(|at_us| at_us + UNRESPONSIVE_TIMEOUT_US <= replica.reported_at_us)
    });
    if is_silent {
        return PrimaryHealth::Failed("its replicas do not hear from it");
    }
    match state.failing_since_us {
        Some(since_us) if since_us + UNRESPONSIVE_TIMEOUT_US <= now_us => {
            PrimaryHealth::Failed("it does not answer")
        }
        Some(since_us) => PrimaryHealth::CheckAt(since_us + UNRESPONSIVE_TIMEOUT_US),
        None => PrimaryHealth::Healthy,
    }
}

fn declare_failed(tables: &mut Tables, database: DatabaseId, primary: u8, reason: &'static str) {
    let now_us = tables.now_us;
    let Some(owned) = tables.owned.get_mut(&database) else { return };
    owned.excluded = Some(primary);
    owned.begin_next_term(owned.term, now_us);
    tables.counters.primaries_lost += 1;
    tables.view_changed = true;
    tables.log(StateChange::PrimaryFailed { database, instance_index: primary, reason });
}
