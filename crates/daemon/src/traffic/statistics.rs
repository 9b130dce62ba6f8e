//! Counters and gauges of the traffic machines.

use std::sync::Arc;

use flamingorock_core::configuration::Configuration;
use flamingorock_core::traffic::{Gauges, RankCounters, ServiceCounters};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;

use crate::metrics::{Metrics, RankLabel, ThreadLabel};

/// Counters and gauges of one traffic thread's state machine.
#[derive(Clone, Debug)]
pub struct Statistics {
    /// Index of the thread.
    pub thread: u8,
    /// Configuration in force.
    pub configuration: Arc<Configuration>,
    /// Sizes of the machine's tables.
    pub gauges: Gauges,
    /// Counters by service and rank.
    pub counters: Vec<ServiceCounters>,
}

impl Statistics {
    /// Updates the metrics from the statistics of the traffic threads that have responded.
    pub fn publish(threads: &[Self], metrics: &Metrics) {
        for statistics in threads {
            statistics.publish_gauges(metrics);
        }
        for (label, ranks) in by_rank(threads) {
            publish_rank(&label, &ranks, metrics);
        }
    }

    fn publish_gauges(&self, metrics: &Metrics) {
        let label = ThreadLabel { thread: self.thread };
        let sizes = [
            (&metrics.entry_requests, self.gauges.entry_requests),
            (&metrics.requests_queued, self.gauges.queued),
            (&metrics.requests_running, self.gauges.running),
            (&metrics.requests_unconfirmed, self.gauges.awaiting_confirmation),
            (&metrics.transactions, self.gauges.transactions),
        ];
        for (family, size) in sizes {
            family.get_or_create(&label).set(i64::try_from(size).unwrap_or(i64::MAX));
        }
    }
}

/// Groups the counters of all threads by service and rank.
fn by_rank(threads: &[Statistics]) -> Vec<(RankLabel, Vec<&RankCounters>)> {
    let mut rows: Vec<(RankLabel, Vec<&RankCounters>)> = Vec::new();
    for service in threads.iter().flat_map(|statistics| &statistics.counters) {
        for (rank, counters) in &service.ranks {
            let label = RankLabel { service: service.service.clone(), rank: rank.clone() };
            match rows.iter_mut().find(|(other, _)| *other == label) {
                Some((_, row)) => row.push(counters),
                None => rows.push((label, vec![counters])),
            }
        }
    }
    rows
}

fn publish_rank(label: &RankLabel, ranks: &[&RankCounters], metrics: &Metrics) {
    let increase_to_total = |family: &Family<RankLabel, Counter>,
                             value: fn(&RankCounters) -> u64| {
        let total: u64 = ranks.iter().map(|counters| value(counters)).sum();
        let counter = family.get_or_create(label);
        // The machines' counters only increase. The total lacks a thread that was too busy to
        // respond; the metric then keeps its value instead of decreasing.
        counter.inc_by(total.saturating_sub(counter.get()));
    };
    increase_to_total(&metrics.rank_good, |counters| counters.good);
    increase_to_total(&metrics.rank_slow, |counters| counters.slow);
    increase_to_total(&metrics.rank_unknown, |counters| counters.unknown);
    increase_to_total(&metrics.rank_refused, |counters| counters.refused);
    increase_to_total(&metrics.rank_rolled_back, |counters| counters.rolled_back);
    increase_to_total(&metrics.rank_abandoned, |counters| counters.abandoned);
    increase_to_total(&metrics.rank_stale_reads, |counters| counters.reads);
    increase_to_total(&metrics.rank_replica_reads, |counters| counters.replica_reads);
}
