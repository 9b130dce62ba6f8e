//! Host list and the binary.

mod support;

use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};

use flamingorock_standin::HostList;
use support::web::Web;
use support::{any_port, connect, rows, wait_for};

const PATH: &str = "/v1/catalog/nodes";

/// Guards against a change that is visible before the lag has passed, or that stays invisible.
#[test]
fn changes_become_visible_after_the_lag() {
    let list = HostList::start(any_port()).unwrap();
    let web = Web::new(list.address());
    let hosts = |state: &str| {
        format!(
            r#"[{{"Address":"10.0.0.1","Datacenter":"curepipe","Meta":{{"state":"{state}"}},"Node":"db-1"}}]"#
        )
    };
    assert_eq!(web.get(PATH).2, "[]");
    web.put("/standin/hosts", &hosts("live"));
    assert_eq!(web.get(PATH).2, hosts("live"));
    web.set_fault("lag_ms=200");
    let changed_at = std::time::Instant::now();
    web.put("/standin/hosts", &hosts("leaving"));
    wait_for("change is visible", || web.get(PATH).2 == hosts("leaving"));
    assert!(changed_at.elapsed() >= std::time::Duration::from_millis(200));
    assert_eq!(web.put("/standin/hosts", "[1]").0, 400);
    assert_eq!(web.get(PATH).2, hosts("leaving"));
}

/// Guards against a subcommand that does not start, or that tells a wrong address.
#[test]
fn binary_serves_each_stand_in() {
    for name in ["database", "store", "host-list"] {
        let mut process = Command::new(env!("CARGO_BIN_EXE_flamingorock-standin"))
            .args([name, "--listen", "127.0.0.1:0"])
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(process.stdout.take().unwrap()).read_line(&mut line).unwrap();
        let address = line.trim().strip_prefix("listening on ").unwrap().parse().unwrap();
        if name == "database" {
            assert_eq!(rows(&mut connect(address), "SELECT 1"), ["1"]);
        } else {
            assert_eq!(Web::new(address).get("/v1/kv/missing").0, 404);
        }
        process.kill().unwrap();
        process.wait().unwrap();
    }
}
