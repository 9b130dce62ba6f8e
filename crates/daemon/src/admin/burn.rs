//! Report on how fast services use up their error budgets (burn rates).

use std::collections::{BTreeMap, VecDeque};

use flamingorock_core::HostId;
use flamingorock_core::burn::{
    BurnReport, LatencySummary, OutcomeCounts, RankBurn, ServiceBurn, WindowBurn,
};
use flamingorock_core::configuration::{Rank, Service};
use flamingorock_core::traffic::{LatencyHistogram, RankCounters};

use crate::traffic::Statistics;

/// Lengths of the windows: a short one for alerts, a long one for trends, and one in between.
const WINDOWS_S: [u64; 3] = [300, 3_600, 21_600];

/// Interval between samples, which is also the maximum error of a window's length.
pub(super) const SAMPLE_INTERVAL_S: u64 = 30;

/// Number of samples kept: those of the longest window and the one at its start.
const SAMPLES_LIMIT: usize = (WINDOWS_S[2] / SAMPLE_INTERVAL_S) as usize + 1;

/// Counts of outcomes by service and rank.
type Counts = BTreeMap<(String, String), OutcomeCounts>;

/// Samples of the counts of outcomes, taken at intervals.
#[derive(Debug)]
pub(super) struct BurnHistory {
    host: HostId,
    incarnation: u64,
    /// Samples with their time in seconds since the process started, in ascending order.
    samples: VecDeque<(u64, Counts)>,
}

impl BurnHistory {
    pub(super) fn new(host: HostId, incarnation: u64) -> Self {
        Self { host, incarnation, samples: VecDeque::new() }
    }

    /// Adds a sample of the current counts. `uptime_s` is the time since the process started.
    pub(super) fn sample(&mut self, uptime_s: u64, threads: &[Statistics]) {
        let mut counts = Counts::new();
        for (service, rank, counters) in counters(threads) {
            let sum = counts.entry((service.to_owned(), rank.to_owned())).or_default();
            *sum = sum.plus(outcomes(counters));
        }
        if self.samples.len() == SAMPLES_LIMIT {
            self.samples.pop_front();
        }
        self.samples.push_back((uptime_s, counts));
    }

    /// Builds the report as JSON, for the services of the newest configuration in force.
    pub(super) fn report(&self, uptime_s: u64, threads: &[Statistics]) -> String {
        let newest =
            threads.iter().map(|it| &it.configuration).max_by_key(|it| it.version).cloned();
        let configuration = newest.unwrap_or_default();
        let services = configuration.services.iter();
        let report = BurnReport {
            host: self.host,
            incarnation: self.incarnation,
            uptime_s,
            services: services.map(|it| self.service(uptime_s, it, threads)).collect(),
        };
        serde_json::to_string(&report).unwrap_or_else(|error| error.to_string())
    }

    fn service(&self, uptime_s: u64, service: &Service, threads: &[Statistics]) -> ServiceBurn {
        let ranks = service.ranks.iter();
        let ranks = ranks.map(|rank| self.rank(uptime_s, &service.name, rank, threads)).collect();
        ServiceBurn { service: service.name.clone(), ranks }
    }

    fn rank(&self, uptime_s: u64, service: &str, rank: &Rank, threads: &[Statistics]) -> RankBurn {
        let mut total = OutcomeCounts::default();
        let (mut reads, mut replica_reads) = (0, 0);
        let mut latency = LatencyHistogram::default();
        for (found_service, found_rank, counters) in counters(threads) {
            if found_service == service && found_rank == rank.name {
                total = total.plus(outcomes(counters));
                reads += counters.reads;
                replica_reads += counters.replica_reads;
                latency.merge(&counters.latency);
            }
        }
        let key = (service.to_owned(), rank.name.clone());
        let window = |window_s| {
            let counts = subtract(total, self.counts_at(uptime_s.saturating_sub(window_s), &key));
            WindowBurn { window_s, counts }
        };
        RankBurn {
            rank: rank.name.clone(),
            target_latency_ms: rank.target_latency_us / 1000,
            target_percent: rank.target_fraction * 100.0,
            worth: rank.worth,
            windows: WINDOWS_S.map(window).to_vec(),
            total,
            reads,
            replica_reads,
            latency_ms: summary(&latency),
        }
    }

    /// Counts at a given time, from the newest sample that is not later; zero if there is none.
    fn counts_at(&self, time_s: u64, key: &(String, String)) -> OutcomeCounts {
        let sample = self.samples.iter().rev().find(|(sampled_s, _)| *sampled_s <= time_s);
        sample.and_then(|(_, counts)| counts.get(key).copied()).unwrap_or_default()
    }
}

fn counters(threads: &[Statistics]) -> impl Iterator<Item = (&str, &str, &RankCounters)> {
    let services = threads.iter().flat_map(|it| &it.counters);
    services.flat_map(|service| {
        let ranks = service.ranks.iter();
        ranks.map(|(rank, counters)| (service.service.as_str(), rank.as_str(), counters))
    })
}

fn outcomes(counters: &RankCounters) -> OutcomeCounts {
    OutcomeCounts {
        good: counters.good,
        slow: counters.slow,
        unknown: counters.unknown,
        refused: counters.refused,
        rolled_back: counters.rolled_back,
    }
}

fn subtract(counts: OutcomeCounts, past: OutcomeCounts) -> OutcomeCounts {
    OutcomeCounts {
        good: counts.good.saturating_sub(past.good),
        slow: counts.slow.saturating_sub(past.slow),
        unknown: counts.unknown.saturating_sub(past.unknown),
        refused: counts.refused.saturating_sub(past.refused),
        rolled_back: counts.rolled_back.saturating_sub(past.rolled_back),
    }
}

fn summary(latency: &LatencyHistogram) -> LatencySummary {
    let quantile_ms = |quantile| {
        let quantile_us = latency.quantile_us(quantile).unwrap_or_default();
        // The highest bucket ends at 2^31 us, which an f64 represents exactly.
        quantile_us as f64 / 1000.0
    };
    LatencySummary { p50: quantile_ms(0.5), p99: quantile_ms(0.99) }
}
