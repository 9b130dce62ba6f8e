//! Commands for running proxies.

use std::process::Command;

use serde_json::Value;

use crate::ctl::{ctl, proxies, run, text};
use crate::support::{DATABASE, Fleet, Ledger, TABLE, wait_for};

fn json(command: Command) -> Value {
    serde_json::from_str(&run(command)).expect("JSON")
}

/// Guards against a status that misses a proxy or shows two owners, and against one that fails as a
/// whole because one proxy is away.
#[test]
fn status_shows_all_proxies() {
    let mut fleet = Fleet::start(2);
    let owner = fleet.owner();
    let status = json(proxies(&fleet, ctl(&["--output", "json", "status"])));
    for (index, entry) in status["proxies"].as_array().expect("a list").iter().enumerate() {
        let proxy = &fleet.proxies[index];
        assert_eq!(entry["proxy"], proxy.admin.to_string());
        assert_eq!(entry["status"]["host"], proxy.id);
        let database = &entry["status"]["databases"][0];
        assert_eq!(database["name"], DATABASE);
        assert_eq!(database["owner"], fleet.proxies[owner].id);
        assert_eq!(database["owned"].is_null(), index != owner);
    }
    assert_eq!(status["missing"], serde_json::json!([]));
    fleet.proxies[1 - owner].kill();
    let printed = run(proxies(&fleet, ctl(&["status"])));
    let missing = format!("no answer from {}", fleet.proxies[1 - owner].admin);
    assert!(printed.contains(&missing), "{printed}");
}

/// Guards against a promotion that moves to another instance than the named one, loses a write, or
/// is accepted for an instance that does not exist.
#[test]
fn promote_moves_the_primary() {
    let fleet = Fleet::start(2);
    fleet.proxies[0].connect(DATABASE).batch_execute(TABLE).expect("the table");
    let mut ledger = Ledger::new(1);
    ledger.write_until_acknowledged(&fleet.proxies[0]);
    let target = (fleet.primary() + 1) % 3;
    let name = ["a", "b", "c"][target];
    run(proxies(&fleet, ctl(&["promote", DATABASE, "--to", name])));
    wait_for("the named primary", || match fleet.primary() {
        found if found == target => Ok(()),
        other => Err(format!("instance {other}")),
    });
    for proxy in &fleet.proxies {
        ledger.write_until_acknowledged(proxy);
    }
    ledger.check(&fleet, target);
    let output = proxies(&fleet, ctl(&["promote", DATABASE, "--to", "z"])).output();
    let output = output.expect("flamingoctl can be started");
    assert_eq!(output.status.code(), Some(1), "{}", text(&output));
    assert_eq!(fleet.primary(), target);
}

/// Guards against a drain that reaches another proxy than the named one, loses a write, or leaves the
/// process running.
#[test]
fn drain_shuts_the_named_proxy_down() {
    let mut fleet = Fleet::start(2);
    fleet.proxies[0].connect(DATABASE).batch_execute(TABLE).expect("the table");
    let mut ledger = Ledger::new(1);
    ledger.write_until_acknowledged(&fleet.proxies[0]);
    let owner = fleet.owner();
    let host = fleet.proxies[owner].id.to_string();
    run(proxies(&fleet, ctl(&["drain", &host])));
    let status = fleet.proxies[owner].wait_for_exit();
    assert!(status.success(), "{status}");
    let id = ledger.write_until_acknowledged(&fleet.proxies[1 - owner]);
    assert_eq!(crate::support::row_count(&fleet.proxies[1 - owner], id), 1);
    assert_eq!(fleet.owner(), 1 - owner);
    ledger.check(&fleet, fleet.primary());
}

/// Guards against a report that misses requests of one of the proxies or a rank without requests.
#[test]
fn burn_adds_up_the_requests_of_all_proxies() {
    let fleet = Fleet::start(2);
    fleet.proxies[0].connect(DATABASE).batch_execute(TABLE).expect("the table");
    let good = |report: &Value| {
        let total = &report["services"][0]["ranks"][1]["total"];
        [&total["good"], &total["slow"]].iter().filter_map(|count| count.as_u64()).sum::<u64>()
    };
    let report = || json(proxies(&fleet, ctl(&["--output", "json", "burn"])));
    let before = good(&report());
    let mut ledger = Ledger::new(1);
    for proxy in &fleet.proxies {
        ledger.write_until_acknowledged(proxy);
    }
    let after = report();
    assert!(good(&after) >= before + 2, "{before} before; {after}");
    assert_eq!(after["services"][0]["ranks"][0]["rank"], "urgent");
    assert_eq!(after["services"][0]["ranks"][1]["rank"], "normal");
    let table = run(proxies(&fleet, ctl(&["burn"])));
    assert!(table.contains("ledger-commun") && table.contains("urgent"), "{table}");
}
