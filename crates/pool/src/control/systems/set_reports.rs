//! Selects the replica sets that a heartbeat reports on, and applies the reports of other proxies.
//!
//! A heartbeat reports the sets that have changed since the last version that its receiver has
//! confirmed, and those in trouble. In calm it reports none, however many sets there are. Still,
//! whoever receives a heartbeat knows everything that its sender knew: a permit depends on it.

use bytes::Bytes;

use super::super::replica_set_state::{ReplicaSetState, ReportedState};
use super::super::tables::Tables;
use super::super::{Heartbeat, ReplicaSetReport};

/// Time for which a set is reported after another proxy could not reach its primary.
const SUSPICION_REPORT_US: u64 = 2_000_000;

/// Gives a new version to each replica set that has changed since the last tick.
pub fn note_changes(tables: &mut Tables) {
    for set in tables.replica_sets.values_mut() {
        let state = ReportedState {
            fencing_token: set.fencing_token(),
            term: set.term(),
            is_primary_unreachable: set.unreachable_since_us.is_some(),
        };
        if set.reported_state != state {
            tables.sets_version += 1;
            set.reported_state = state;
            set.changed_version = tables.sets_version;
        }
    }
}

/// Applies the fencing tokens and suspicions that a heartbeat reports.
pub fn apply(tables: &mut Tables, heartbeat: &Heartbeat, now_us: u64) {
    for report in &heartbeat.reports {
        // A set that this proxy does not know yet is kept with its token: it is not reported again.
        if report.fencing_token > 0 {
            tables
                .replica_sets
                .entry(report.replica_set.clone())
                .or_insert_with(|| ReplicaSetState::new(now_us));
        }
        let Some(set) = tables.replica_sets.get_mut(&report.replica_set) else { continue };
        if report.fencing_token > set.fencing_token() {
            set.reported_fencing_token = report.fencing_token;
            tables.is_view_outdated = true;
        }
        if report.is_primary_unreachable {
            set.suspected_until_us = now_us + SUSPICION_REPORT_US;
        }
    }
}

/// Reports for a proxy that has confirmed everything up to a version.
pub fn reports_since(
    tables: &Tables,
    confirmed_version: u64,
    now_us: u64,
) -> Vec<ReplicaSetReport> {
    let changed = tables.replica_sets.iter().filter(|(name, set)| {
        set.changed_version > confirmed_version || is_in_trouble(tables, name, set, now_us)
    });
    changed.map(|(name, set)| report(name, set, now_us)).collect()
}

/// Whether other proxies need this proxy's present view of a set's primary.
fn is_in_trouble(tables: &Tables, name: &Bytes, set: &ReplicaSetState, now_us: u64) -> bool {
    let has_trouble = set.unreachable_since_us.is_some()
        || set.is_replacing()
        || set.primary().is_none()
        || now_us < set.suspected_until_us;
    has_trouble && tables.is_configured(name)
}

fn report(name: &Bytes, set: &ReplicaSetState, now_us: u64) -> ReplicaSetReport {
    let age_ms = now_us.saturating_sub(set.primary_seen_us) / 1000;
    ReplicaSetReport {
        replica_set: name.clone(),
        fencing_token: set.fencing_token(),
        term: set.term(),
        primary_silent_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
        is_primary_unreachable: set.unreachable_since_us.is_some(),
    }
}
