//! The program as operators run it: arguments, exit codes and what it prints.

use std::process::Command;

use tiny_http::{Header, Response, Server};

const KEY: &str = "0123456789abcdef";

/// Runs the program and shows its exit code and output. Addresses are replaced by their names.
fn run(arguments: &[&str], names: &[(&str, &str)]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_flamingoctl"))
        .args(arguments)
        .env_remove("FLAMINGOROCK_ADMIN_KEY")
        .env("USER", "operator")
        .current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/files"))
        .output()
        .expect("the program starts");
    let mut text = format!(
        "$ flamingoctl {}\n{}{}exit code {}",
        arguments.join(" "),
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr),
        output.status.code().expect("an exit code"),
    );
    for (address, name) in names {
        text = text.replace(address, name);
    }
    text
}

/// A proxy's admin port. It answers a `GET` with the given status and burn report, refuses another
/// key, and takes commands unless `refusal` is set. Serves until the test ends.
fn proxy(host: u16, refusal: Option<&'static str>) -> String {
    let server = Server::http("127.0.0.1:0").expect("a free port");
    let address = server.server_addr().to_string();
    std::thread::spawn(move || {
        for mut request in server.incoming_requests() {
            let bearer = format!("Bearer {KEY}");
            let allowed = request.headers().iter().any(|header| {
                header.field.equiv("Authorization") && header.value == bearer.as_str()
            });
            let mut body = String::new();
            request.as_reader().read_to_string(&mut body).expect("a body");
            let (status, answer) = match (allowed, request.url(), refusal) {
                (false, _, _) => (401, "wrong key".to_owned()),
                (_, "/admin/status", _) => (200, status_json(host)),
                (_, "/admin/burn", _) => (200, burn_json(host)),
                (_, "/admin/drain", None) if body.is_empty() => (202, String::new()),
                (_, "/admin/promote", None) if body == PROMOTION => (202, String::new()),
                (_, "/admin/promote", Some(reason)) => (409, reason.to_owned()),
                (_, url, _) => (400, format!("unexpected {} {url} {body}", request.method())),
            };
            let json = Header::from_bytes("Content-Type", "application/json").expect("a header");
            let response = Response::from_string(answer).with_status_code(status).with_header(json);
            drop(request.respond(response));
        }
    });
    address
}

const PROMOTION: &str = r#"{"database":"ledger-1","instance":"b"}"#;

fn status_json(host: u16) -> String {
    serde_json::json!({
        "host": host, "name": format!("entry-{host}"), "configuration_version": 7,
        "draining": false, "peers": [1, 2],
        "databases": [
            {"name": "ledger-1", "owner_epoch": 5, "primary": "a", "standby": 2},
            {"name": "ledger-2", "owner_epoch": 9, "primary": null},
        ],
    })
    .to_string()
}

fn burn_json(host: u16) -> String {
    serde_json::json!({
        "host": host, "incarnation": 1, "uptime_s": 60,
        "services": [{"service": "s", "ranks": [{
            "rank": "only", "target_latency_ms": 100, "target_percent": 99.0, "worth": 1,
            "windows": [], "total": {"good": 99, "slow": 1, "unknown": 0, "refused": 0,
            "rolled_back": 0}, "reads": 0, "replica_reads": 0, "latency_ms": {"p50": 1, "p99": 2},
        }]}],
    })
    .to_string()
}

/// An address that refuses connections. No test listens on this loopback address.
const CLOSED: &str = "127.0.0.2:1";

/// Guards against exit codes that scripts misread, and against errors without line numbers.
#[test]
fn check_prints_all_errors() {
    let runs = [
        run(&["check", "services.ini"], &[]),
        run(&["--output", "json", "check", "services.ini"], &[]),
        run(&["check", "invalid.ini"], &[]),
        run(&["--output", "json", "check", "invalid.ini"], &[]),
        run(&["check", "missing.ini"], &[]),
    ];
    insta::assert_snapshot!(runs.join("\n\n"));
}

/// Guards against wrong usage that is taken for another failure.
#[test]
fn wrong_usage_has_its_own_exit_code() {
    let runs = [
        run(&["get"], &[]),
        run(&["get", "--store", "localhost:8500"], &[]),
        run(&["burn", "--proxy", "127.0.0.1:1"], &[]),
        run(&["apply", "services.ini", "--store", "http://127.0.0.1:1", "--settings", "x"], &[]),
    ];
    insta::assert_snapshot!(runs.join("\n\n"));
}

/// Guards against a store that is down and looks like an empty one.
#[test]
fn unreachable_store_is_reported() {
    let store = format!("http://{CLOSED}");
    let names = [(CLOSED, "STORE")];
    let runs = [
        run(&["get", "--store", &store], &names),
        run(&["history", "--store", &store], &names),
        run(&["plan", "services.ini", "--store", &store], &names),
        run(&["apply", "services.ini", "--store", &store, "--output", "json"], &names),
        run(&["get", "--settings", "no-settings.ini"], &names),
    ];
    insta::assert_snapshot!(runs.join("\n\n"));
}

/// Guards against reports that hide a proxy without an answer, and against an admin key that is
/// printed.
#[test]
fn status_and_burn_name_missing_proxies() {
    let (first, second) = (proxy(1, None), proxy(2, None));
    let names = [(first.as_str(), "PROXY-1"), (second.as_str(), "PROXY-2"), (CLOSED, "CLOSED")];
    let proxies = ["--proxy", &first, "--proxy", &second, "--proxy", CLOSED, "--admin-key", KEY];
    let only_closed = ["--proxy", CLOSED, "--admin-key", KEY];
    let wrong_key = ["--proxy", &first, "--admin-key", "another-key-of-16"];
    let runs = [
        run(&[&["status"], &proxies[..]].concat(), &names),
        run(&[&["status", "--output", "json"], &proxies[..4], &proxies[6..]].concat(), &names),
        run(&[&["burn"], &proxies[..]].concat(), &names),
        run(&[&["status"], &only_closed[..]].concat(), &names),
        run(&[&["burn"], &wrong_key[..]].concat(), &names),
    ];
    insta::assert_snapshot!(runs.join("\n\n"));
}

/// Guards against a command that reaches the wrong proxy or is reported as taken when it was not.
#[test]
fn drain_and_promote_reach_the_right_proxy() {
    let (first, second) = (proxy(1, Some("not the owner")), proxy(2, None));
    let names = [(first.as_str(), "PROXY-1"), (second.as_str(), "PROXY-2"), (CLOSED, "CLOSED")];
    let proxies = ["--proxy", &first, "--proxy", &second, "--proxy", CLOSED, "--admin-key", KEY];
    let first_only = ["--proxy", &first, "--admin-key", KEY];
    let first_and_closed = ["--proxy", &first, "--proxy", CLOSED, "--admin-key", KEY];
    let promote = ["promote", "ledger-1", "--to", "b"];
    let runs = [
        run(&[&["drain", "2"], &proxies[..]].concat(), &names),
        run(&[&["drain", "entry-2"], &proxies[..]].concat(), &names),
        run(&[&["drain", "3"], &proxies[..]].concat(), &names),
        run(&[&["drain", "3"], &first_only[..]].concat(), &names),
        run(&[&promote[..], &proxies[..]].concat(), &names),
        run(&[&promote[..], &first_and_closed[..]].concat(), &names),
        run(&[&promote[..], &["--proxy", CLOSED, "--admin-key", KEY]].concat(), &names),
    ];
    insta::assert_snapshot!(runs.join("\n\n"));
}

/// Guards against an engineer who finds the refusal of a request and not the replacement behind it, in
/// the log of another host.
#[test]
fn explain_shows_a_request_with_what_led_to_it() {
    let runs = [
        run(&["explain", "cc04", "edge-1.log", "edge-2.log"], &[]),
        run(&["--output", "json", "explain", "cc04", "edge-1.log", "--before-ms", "95"], &[]),
        run(&["explain", "dd05", "edge-1.log", "edge-2.log"], &[]),
        run(&["explain", "cc04", "missing.log"], &[]),
    ];
    insta::assert_snapshot!(runs.join("\n\n"));
}

/// Guards against a completion script that lacks the commands.
#[test]
fn completions_name_the_commands() {
    for shell in ["bash", "zsh", "fish"] {
        let text = run(&["completions", shell], &[]);
        assert!(text.contains("expect-version") && text.ends_with("exit code 0"), "{text}");
    }
}
