//! Merging the reports of proxies.

use flamingorock_core::burn::{BurnReport, RankBurn, ServiceBurn, WindowBurn};

/// Adds up the counts of all reports. While a configuration comes into force, the proxies may name
/// different targets; those of the first report that has the rank are kept.
pub(super) fn merge<'a>(reports: impl Iterator<Item = &'a BurnReport>) -> Vec<ServiceBurn> {
    let mut merged: Vec<ServiceBurn> = Vec::new();
    for service in reports.flat_map(|report| &report.services) {
        match merged.iter_mut().find(|other| other.service == service.service) {
            Some(other) => merge_service(other, service),
            None => merged.push(service.clone()),
        }
    }
    merged
}

fn merge_service(into: &mut ServiceBurn, service: &ServiceBurn) {
    for rank in &service.ranks {
        match into.ranks.iter_mut().find(|other| other.rank == rank.rank) {
            Some(other) => merge_rank(other, rank),
            None => into.ranks.push(rank.clone()),
        }
    }
}

fn merge_rank(into: &mut RankBurn, rank: &RankBurn) {
    for window in &rank.windows {
        match into.windows.iter_mut().find(|other| other.window_s == window.window_s) {
            Some(other) => *other = add(*other, *window),
            None => into.windows.push(*window),
        }
    }
    into.windows.sort_by_key(|window| window.window_s);
    into.total = into.total.plus(rank.total);
    into.reads = into.reads.saturating_add(rank.reads);
    into.replica_reads = into.replica_reads.saturating_add(rank.replica_reads);
    into.latency_ms = into.latency_ms.worst(rank.latency_ms);
}

fn add(a: WindowBurn, b: WindowBurn) -> WindowBurn {
    WindowBurn { window_s: a.window_s, counts: a.counts.plus(b.counts) }
}
