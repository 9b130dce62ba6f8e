//! The metrics page of the documentation lists exactly the metrics that the proxy exports.

use flamingorockd::METRIC_NAMES;

/// Guards against a metric that is missing from `docs/metrics.md`, and against a documented metric
/// that no longer exists.
#[test]
fn every_metric_is_documented() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/metrics.md");
    let page = std::fs::read_to_string(path).expect("docs/metrics.md is part of the repository");
    let rows = page.lines().filter_map(|line| line.strip_prefix("| `"));
    let documented: Vec<&str> = rows
        .map(|row| row.split('`').next().unwrap_or_default())
        .map(|name| name.trim_end_matches("_total"))
        .collect();
    assert_eq!(documented, METRIC_NAMES);
}
