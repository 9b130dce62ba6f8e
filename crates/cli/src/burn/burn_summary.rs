//! Summaries of the fleet.

use core::fmt;

use flamingorock_core::HostId;
use flamingorock_core::burn::BurnReport;
use serde::Serialize;

use super::merge::merge;
use super::{RankSummary, ServiceSummary};
use crate::admin::MissingProxy;
use crate::table::table_text;

/// Summary of the reports of all proxies that answered.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BurnSummary {
    /// Hosts whose reports are part of the summary.
    pub hosts: Vec<HostId>,
    /// Proxies whose reports are missing.
    pub missing: Vec<MissingProxy>,
    /// Services.
    pub services: Vec<ServiceSummary>,
}

impl BurnSummary {
    /// Merges reports.
    #[must_use]
    pub fn merge<'a>(
        reports: impl Iterator<Item = &'a BurnReport> + Clone,
        missing: Vec<MissingProxy>,
    ) -> Self {
        let services = merge(reports.clone());
        Self {
            hosts: reports.map(|report| report.host).collect(),
            missing,
            services: services
                .iter()
                .map(|service| ServiceSummary {
                    service: service.service.clone(),
                    ranks: service.ranks.iter().map(RankSummary::new).collect(),
                })
                .collect(),
        }
    }

    /// All ranks with the names of their services.
    pub(super) fn ranks(&self) -> impl Iterator<Item = (&str, &RankSummary)> {
        self.services
            .iter()
            .flat_map(|service| service.ranks.iter().map(|rank| (service.service.as_str(), rank)))
    }

    /// Lengths of all windows, the shortest first.
    pub(super) fn windows_s(&self) -> Vec<u64> {
        let rates = self.ranks().flat_map(|(_, rank)| &rank.burn_rates);
        let mut windows: Vec<u64> = rates.map(|rate| rate.window_s).collect();
        windows.sort_unstable();
        windows.dedup();
        windows
    }
}

impl fmt::Display for BurnSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let windows_s = self.windows_s();
        let names = ["SERVICE", "RANK", "TARGET", "GOOD", "BAD", "REFUSED", "ROLLED BACK"];
        let mut header: Vec<String> = names.map(str::to_owned).to_vec();
        header.push("BUDGET LEFT".to_owned());
        header.extend(windows_s.iter().map(|window| format!("BURN {}", duration_text(*window))));
        header.extend(["WORTH LOST", "REPLICA READS", "WORST P99"].map(str::to_owned));
        let rows: Vec<_> =
            self.ranks().map(|(service, rank)| row(service, rank, &windows_s)).collect();
        f.write_str(&table_text(&header, &rows, 3))?;
        let hosts: Vec<_> = self.hosts.iter().map(ToString::to_string).collect();
        write!(f, "\n\nhosts: {}", hosts.join(", "))?;
        self.missing.iter().try_for_each(|missing| write!(f, "\nno answer from {missing}"))
    }
}

fn row(service: &str, rank: &RankSummary, windows_s: &[u64]) -> Vec<String> {
    let mut cells = vec![
        service.to_owned(),
        rank.rank.clone(),
        format!("{} % in {} ms", rank.target_percent, rank.target_latency_ms),
        rank.total.good.to_string(),
        rank.bad.to_string(),
        rank.total.refused.to_string(),
        rank.total.rolled_back.to_string(),
        format!("{:.1} %", rank.budget_left_percent),
    ];
    cells.extend(windows_s.iter().map(|window| {
        let rate = rank.burn_rates.iter().find(|rate| rate.window_s == *window);
        rate.map_or_else(|| "-".to_owned(), |rate| format!("{:.2}", rate.burn_rate))
    }));
    cells.push(rank.worth_lost.to_string());
    cells.push(
        rank.replica_reads_percent
            .map_or_else(|| "-".to_owned(), |percent| format!("{percent:.1} %")),
    );
    cells.push(format!("{:.1} ms", rank.worst_latency_ms.p99));
    cells
}

/// A length of time in its greatest whole unit.
pub(super) fn duration_text(seconds: u64) -> String {
    match seconds {
        s if s > 0 && s % 3600 == 0 => format!("{} h", s / 3600),
        s if s > 0 && s % 60 == 0 => format!("{} min", s / 60),
        s => format!("{s} s"),
    }
}
