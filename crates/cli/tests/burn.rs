//! The summary of burn reports.

use flamingorock_cli::{BurnSummary, MissingProxy, burn_svg};
use flamingorock_core::burn::BurnReport;

/// Report of one proxy in the documented form.
fn report(host: u16, scale: u64) -> BurnReport {
    let rank = |rank: &str, target_latency_ms: u64, target_percent: f64, worth: u32| {
        let counts = |events: u64| {
            serde_json::json!({
                "good": events * 995 * scale, "slow": events * 4 * scale, "unknown": events * scale,
                "refused": 7 * scale, "rolled_back": 3 * scale,
            })
        };
        let window = |window_s: u64, events: u64| {
            let mut window = counts(events);
            window["window_s"] = window_s.into();
            window
        };
        serde_json::json!({
            "rank": rank, "target_latency_ms": target_latency_ms, "target_percent": target_percent,
            "worth": worth, "windows": [window(300, 1), window(3600, 6)], "total": counts(10),
            "reads": 100 * scale, "replica_reads": 95 * scale,
            "latency_ms": {"p50": 1.5, "p99": 20.0 * f64::from(host)},
        })
    };
    let report = serde_json::json!({
        "host": host, "incarnation": 123, "uptime_s": 60,
        "services": [{"service": "ledger-commun", "ranks": [
            rank("urgent", 250, 99.9, 100), rank("background", 5000, 90.0, 1),
        ]}],
    });
    serde_json::from_value(report).expect("the documented form")
}

fn missing() -> Vec<MissingProxy> {
    let proxy = "127.0.0.1:6603".parse().expect("an address");
    vec![MissingProxy { proxy, reason: "unreachable: connection refused".to_owned() }]
}

/// Guards against wrong budgets and rates, against refused requests counted as bad, and against a
/// report that looks complete although a proxy is missing.
#[test]
fn reports_are_merged() {
    let summary = BurnSummary::merge([report(1, 1), report(2, 2)].iter(), missing());
    let json = serde_json::to_string_pretty(&summary).expect("JSON");
    insta::assert_snapshot!(format!("{summary}\n{json}"));
}

/// Guards against a division by zero that shows as `NaN` when there was no request.
#[test]
fn no_requests_burn_nothing() {
    let mut empty = report(1, 0);
    for rank in &mut empty.services[0].ranks {
        rank.windows.clear();
    }
    let summary = BurnSummary::merge([empty].iter(), Vec::new());
    insta::assert_snapshot!(summary);
}

/// Guards against a chart without its bars, labels or line.
#[test]
fn chart_shows_all_ranks() {
    let summary = BurnSummary::merge([report(1, 1), report(2, 2)].iter(), missing());
    insta::assert_snapshot!(burn_svg(&summary).expect("a chart"));
}
