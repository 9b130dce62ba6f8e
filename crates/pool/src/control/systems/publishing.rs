//! Publishes the view to the traffic thread and the readiness to the load balancer.

use std::sync::Arc;

use bytes::Bytes;

use super::super::replica_set_state::ReplicaSetState;
use super::super::tables::Tables;
use super::super::{Action, PromotionState, StateChange};
use super::detection;
use crate::{InstanceView, PoolView, PrimaryView, ReplicaSetView};

/// Time that open transactions have to finish at a working primary before its failover.
const DRAIN_US: u64 = 500_000;
/// Time for which calls to the store have failed after which a claim is not expected to succeed at
/// once.
const STORE_FAILING_US: u64 = 300_000;
/// Granularity of the time at which an unreachable primary is expected to be replaced.
const EXPECTED_STEP_US: u64 = 100_000;

pub fn run(tables: &mut Tables, now_us: u64) {
    set_ready(tables, now_us);
    let depends_on_time = tables
        .replica_sets
        .values()
        .any(|set| set.unreachable_since_us.is_some() || set.is_replacing());
    if !core::mem::take(&mut tables.is_view_outdated) && !depends_on_time {
        return;
    }
    if tables.configuration.version == 0 {
        return;
    }
    let view = pool_view(tables, now_us);
    tables.publish(view);
}

fn pool_view(tables: &Tables, now_us: u64) -> PoolView {
    let names = tables.configuration.replica_sets.iter().map(|rule| &rule.name);
    let replica_sets = names.map(|name| replica_set_view(tables, name, now_us)).collect();
    PoolView {
        sequence: tables.view_sequence + 1,
        configuration: Arc::clone(&tables.configuration),
        replica_sets,
        proxies: u32::try_from(tables.fleet_size(now_us)).unwrap_or(u32::MAX),
    }
}

fn replica_set_view(tables: &Tables, name: &Bytes, now_us: u64) -> ReplicaSetView {
    let Some(set) = tables.replica_sets.get(name) else {
        return ReplicaSetView {
            name: name.clone(),
            instances: Vec::new(),
            primary: PrimaryView::Unknown,
        };
    };
    let instances = set
        .instances
        .values()
        .map(|row| InstanceView {
            id: row.entry.id.clone(),
            started_unix_ms: row.entry.started_unix_ms,
            address: row.entry.address,
            data_centre: row.entry.data_centre.clone(),
            slots: row.entry.slots,
            is_leaving: row.entry.is_leaving,
        })
        .collect();
    let primary = match set.is_replacing() {
        true => replacing_view(set, now_us),
        false => primary_view(tables, name, set, now_us),
    };
    ReplicaSetView { name: name.clone(), instances, primary }
}

/// State of a primary during a failover.
fn replacing_view(set: &ReplicaSetState, now_us: u64) -> PrimaryView {
    let (seen_us, is_planned) = match set.claim() {
        Some(claim) => {
            let is_planned =
                matches!(claim.record.state, PromotionState::Claimed { is_planned: true, .. });
            (claim.seen_us, is_planned && !set.has_unseen_claim())
        }
        None => (now_us, false),
    };
    PrimaryView::Replacing {
        instance: set.primary().map(|(instance, _)| instance.clone()),
        term: set.term(),
        is_draining: is_planned && now_us < seen_us + DRAIN_US,
        expected_us: (seen_us + set.failover_duration_us).max(now_us),
    }
}

fn primary_view(tables: &Tables, name: &Bytes, set: &ReplicaSetState, now_us: u64) -> PrimaryView {
    let Some((instance, term)) = set.primary() else { return PrimaryView::Unknown };
    let instance = instance.clone();
    // Proxies that reach the store know its address.
    let lacks_address =
        tables.mirror.is_store_unreachable && !set.instances.contains_key(&instance);
    if lacks_address || detection::is_reachable_by_others(tables, name, now_us) {
        return PrimaryView::ReachableByOthers { instance, term };
    }
    match set.unreachable_since_us {
        None => PrimaryView::Serving { instance, term },
        Some(since_us) => {
            let expected_us = expected_us(tables, set, since_us, now_us);
            PrimaryView::Unreachable { instance, term, expected_us }
        }
    }
}

/// When an unreachable primary is expected to be replaced. Rounded up, so that the view does not
/// change with each tick. The estimate assumes that the claim can be written, which requires the
/// store.
fn expected_us(tables: &Tables, set: &ReplicaSetState, since_us: u64, now_us: u64) -> u64 {
    let failing_since_us = tables.mirror.failing_since_us;
    let is_store_failing =
        failing_since_us.is_some_and(|failing_us| now_us > failing_us + STORE_FAILING_US);
    let begin_us = if is_store_failing { now_us } else { since_us };
    let begin_us = begin_us.max(now_us.saturating_sub(set.failover_duration_us / 2));
    begin_us.div_ceil(EXPECTED_STEP_US) * EXPECTED_STEP_US + set.failover_duration_us
}

impl Tables {
    /// Publishes a view unless it equals the last one.
    fn publish(&mut self, view: PoolView) {
        let is_same = self.last_view.as_ref().is_some_and(|last| {
            last.configuration.version == view.configuration.version
                && last.replica_sets == view.replica_sets
                && last.proxies == view.proxies
        });
        if is_same {
            return;
        }
        self.view_sequence = view.sequence;
        let view = Arc::new(view);
        self.last_view = Some(Arc::clone(&view));
        self.actions.push(Action::Publish(view));
    }
}

/// Updates the readiness. A process that can serve stays ready while the store is unavailable.
fn set_ready(tables: &mut Tables, now_us: u64) {
    let knows_primary = tables.configuration.version > 0
        && tables.configuration.replica_sets.iter().any(|rule| {
            tables.replica_sets.get(&rule.name).is_some_and(|set| set.primary().is_some())
        });
    let is_ready =
        knows_primary && tables.config.permit.is_valid(now_us) && tables.stopping.is_none();
    if is_ready != tables.is_ready {
        tables.is_ready = is_ready;
        tables.changes.push(StateChange::Ready { is_ready });
        tables.actions.push(Action::SetReady(is_ready));
    }
}
