//! Shares positions of primaries between the proxies.
//!
//! A proxy may send a stale read to a replica only if it knows a recent position of the primary. In
//! a large fleet a proxy sends few statements to each primary, so it learns most positions from the
//! heartbeats of others instead of from calls of its own.

use bytes::Bytes;
use flamingorock_core::Position;

use super::super::replica_set_state::PrimarySample;
use super::super::tables::Tables;
use super::super::{Action, PositionSample};

/// Age up to which a sample is sent.
const MAX_AGE_US: u64 = 400_000;
/// Shortest time between two samples of a set that are passed to the traffic thread.
const MIN_SPACING_US: u64 = 200_000;

/// Notes a position that this proxy's traffic thread has seen at the primary. `at_us` is when the
/// command was sent.
pub fn observed(tables: &mut Tables, name: &Bytes, at_us: u64, position: Position, now_us: u64) {
    // Without a permit the primary may have been superseded.
    if !tables.config.permit.is_valid(now_us) {
        return;
    }
    let Some(set) = tables.replica_sets.get_mut(name) else { return };
    if !set.is_replacing() && at_us >= set.primary_since_us {
        // After a start, or at a new primary, other proxies are likely to lack a position too.
        let is_first = set.sampled_us < set.primary_since_us;
        set.sample = Some(PrimarySample { at_us, position });
        set.sampled_us = set.sampled_us.max(at_us);
        tables.is_gossip_due |= is_first;
    }
}

/// The sample of the next set in turn that has a recent one.
pub fn next_sample(tables: &mut Tables, now_us: u64) -> Option<PositionSample> {
    let names: Vec<Bytes> = tables.configured_sets().cloned().collect();
    let first = tables.sample_turn;
    for offset in 0..names.len() {
        let turn = (first + offset) % names.len();
        if let Some(sample) = recent_sample(tables, &names[turn], now_us) {
            tables.sample_turn = (turn + 1) % names.len();
            return Some(sample);
        }
    }
    None
}

fn recent_sample(tables: &Tables, name: &Bytes, now_us: u64) -> Option<PositionSample> {
    let set = tables.replica_sets.get(name)?;
    let sample = set.sample.filter(|sample| now_us < sample.at_us + MAX_AGE_US)?;
    let (_, term) = set.primary().filter(|_| !set.is_replacing())?;
    let age_ms = now_us.saturating_sub(sample.at_us).div_ceil(1000);
    Some(PositionSample {
        replica_set: name.clone(),
        term,
        position: sample.position,
        age_ms: u32::try_from(age_ms).ok()?,
    })
}

/// Passes a sample of another proxy to the traffic thread. `not_before_us` is a time before which
/// the sample cannot have been sent.
pub fn received(tables: &mut Tables, sample: PositionSample, not_before_us: u64) {
    // The position covers the commits before the time at which the primary was asked, by the clock
    // of this host at the earliest possible.
    let at_us = not_before_us.saturating_sub(u64::from(sample.age_ms) * 1000);
    let Some(set) = tables.replica_sets.get_mut(&sample.replica_set) else { return };
    let is_current = set.term() == sample.term && !set.is_replacing();
    if !is_current || at_us < set.primary_since_us || at_us < set.sampled_us + MIN_SPACING_US {
        return;
    }
    set.sampled_us = at_us;
    tables.actions.push(Action::PassPosition {
        replica_set: sample.replica_set,
        term: sample.term,
        at_us,
        position: sample.position,
    });
}
