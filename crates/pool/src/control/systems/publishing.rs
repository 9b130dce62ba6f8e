//! Publishes the belief to the traffic thread and answers the balancer.

use std::sync::Arc;

use bytes::Bytes;

use super::super::replica_set_state::ReplicaSetState;
use super::super::tables::Tables;
use super::super::{Action, PromotionState, StateChange};
use super::detection;
use crate::{InstanceView, PoolView, PrimaryView, ReplicaSetView};

/// Time that open transactions at a working primary have to end before it is replaced.
const ENDING_US: u64 = 500_000;
/// Silence of the store after which no claim is expected to succeed at once. Renewals of the lease
/// are answered more often.
const STORE_SILENT_US: u64 = 1_500_000;
/// Steps of the time at which a lost primary is expected to be replaced.
const STEP_US: u64 = 100_000;

pub fn run(tables: &mut Tables, now_us: u64) {
    set_ready(tables, now_us);
    let needs_look = tables.sets.values().any(|set| set.lost_since_us.is_some() || set.is_held());
    if !core::mem::take(&mut tables.is_changed) && !needs_look {
        return;
    }
    if tables.configuration.version == 0 {
        return;
    }
    let view = compose(tables, now_us);
    tables.publish(view);
}

fn compose(tables: &Tables, now_us: u64) -> PoolView {
    let named = tables.configuration.replica_sets.iter().map(|rule| &rule.name);
    let replica_sets = named.map(|name| compose_set(tables, name, now_us)).collect();
    PoolView {
        sequence: tables.view_sequence + 1,
        configuration: Arc::clone(&tables.configuration),
        replica_sets,
        proxies: u32::try_from(tables.fleet_size(now_us)).unwrap_or(u32::MAX),
    }
}

fn compose_set(tables: &Tables, name: &Bytes, now_us: u64) -> ReplicaSetView {
    let Some(set) = tables.sets.get(name) else {
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
    let primary = match set.is_held() {
        true => compose_held(set, now_us),
        false => compose_primary(tables, name, set, now_us),
    };
    ReplicaSetView { name: name.clone(), instances, primary }
}

/// A primary that is being replaced.
fn compose_held(set: &ReplicaSetState, now_us: u64) -> PrimaryView {
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
        is_draining: is_planned && now_us < seen_us + ENDING_US,
        expected_us: (seen_us + set.failover_duration_us).max(now_us),
    }
}

fn compose_primary(
    tables: &Tables,
    name: &Bytes,
    set: &ReplicaSetState,
    now_us: u64,
) -> PrimaryView {
    let Some((instance, term)) = set.primary() else { return PrimaryView::Unknown };
    let instance = instance.clone();
    // Others that have the store know its address.
    let lacks_address = tables.mirror.is_lost && !set.instances.contains_key(&instance);
    if lacks_address || detection::is_elsewhere(tables, name, now_us) {
        return PrimaryView::ReachableByOthers { instance, term };
    }
    match set.lost_since_us {
        None => PrimaryView::Serving { instance, term },
        Some(since_us) => {
            let expected_us = expected_us(tables, set, since_us, now_us);
            PrimaryView::Lost { instance, term, expected_us }
        }
    }
}

/// When a lost primary is replaced, in steps so that the view does not change with each tick. A
/// claim needs the store.
fn expected_us(tables: &Tables, set: &ReplicaSetState, since_us: u64, now_us: u64) -> u64 {
    let is_store_silent = now_us > tables.mirror.heard_us + STORE_SILENT_US;
    let begin_us = if is_store_silent { now_us } else { since_us };
    let begin_us = begin_us.max(now_us.saturating_sub(set.failover_duration_us / 2));
    begin_us.div_ceil(STEP_US) * STEP_US + set.failover_duration_us
}

impl Tables {
    /// Publishes a view that differs from the last one.
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

/// A process that can serve stays ready although the store is away.
fn set_ready(tables: &mut Tables, now_us: u64) {
    let knows_primary = tables.configuration.version > 0
        && tables
            .configuration
            .replica_sets
            .iter()
            .any(|rule| tables.sets.get(&rule.name).is_some_and(|set| set.primary().is_some()));
    let is_ready =
        knows_primary && tables.config.permit.is_valid(now_us) && tables.stopping.is_none();
    if is_ready != tables.is_ready {
        tables.is_ready = is_ready;
        tables.changes.push(StateChange::Ready { is_ready });
        tables.actions.push(Action::SetReady(is_ready));
    }
}
