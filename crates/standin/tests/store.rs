//! Key-value service and its faults.

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;

use flamingorock_standin::Store;
use support::web::Web;
use support::{any_port, wait_for};

const KEY: &str = "/v1/kv/flamingorock/config";

fn start() -> (Store, Web) {
    let store = Store::start(any_port()).unwrap();
    let web = Web::new(store.address());
    (store, web)
}

fn waiting_watches(web: &Web) -> u64 {
    web.json("/standin/calls")["waiting_watches"].as_u64().unwrap()
}

/// Guards against a compare-and-swap that succeeds on an old index, and against a malformed answer.
#[test]
fn compare_and_swap_takes_the_current_index_only() {
    let (_store, web) = start();
    assert_eq!(web.get(KEY), (404, Some(1), String::new()));
    assert_eq!(web.put(&format!("{KEY}?cas=7"), "a"), (200, "false".to_owned()));
    assert_eq!(web.put(&format!("{KEY}?cas=0"), "a"), (200, "true".to_owned()));
    assert_eq!(web.put(&format!("{KEY}?cas=0"), "b"), (200, "false".to_owned()));
    let entry = web.json(KEY).as_array().unwrap()[0].clone();
    assert_eq!((&entry["Key"], &entry["Value"]), (&"flamingorock/config".into(), &"YQ==".into()));
    let index = entry["ModifyIndex"].as_u64().unwrap();
    assert_eq!(web.put(&format!("{KEY}?cas={index}"), "b"), (200, "true".to_owned()));
    assert_eq!(web.put(&format!("{KEY}?cas={index}"), "c"), (200, "false".to_owned()));
    assert_eq!(web.get(&format!("{KEY}?raw")), (200, Some(index + 1), "b".to_owned()));
    assert_eq!(web.put(&format!("{KEY}?cas=x"), "c").0, 400);
}

/// Guards against a limit below the promised value size, and against none.
#[test]
fn values_are_limited_to_one_megabyte() {
    let (_store, web) = start();
    assert_eq!(web.try_put(KEY, &vec![b'x'; 1 << 20]).unwrap().0, 200);
    assert_eq!(web.try_put(KEY, &vec![b'x'; (1 << 20) + 1]).unwrap().0, 413);
    assert_eq!(web.get(&format!("{KEY}?raw")).2.len(), 1 << 20);
}

/// Guards against a watch that misses a change, returns on another key's change, or never ends.
#[test]
fn watch_returns_on_a_change_of_its_key() {
    let (_store, web) = start();
    let watch = |index: u64, wait: &str| {
        let (web, path) = (web.clone(), format!("{KEY}?raw&index={index}&wait={wait}"));
        thread::spawn(move || web.get(&path))
    };
    let created = watch(1, "60s");
    wait_for("watch waits", || waiting_watches(&web) == 1);
    web.put("/v1/kv/other", "x");
    web.put(KEY, "first");
    assert_eq!(created.join().unwrap(), (200, Some(3), "first".to_owned()));
    assert_eq!(watch(3, "10ms").join().unwrap(), (200, Some(3), "first".to_owned()));
    let many: Vec<_> = (0..40).map(|_| watch(3, "60s")).collect();
    wait_for("all watches wait", || waiting_watches(&web) == 40);
    web.put(KEY, "second");
    for watch in many {
        assert_eq!(watch.join().unwrap(), (200, Some(4), "second".to_owned()));
    }
    let calls = web.json("/standin/calls");
    assert_eq!((&calls["reads"], &calls["writes"]), (&42.into(), &3.into()));
}

/// Guards against a lock that two sessions hold, or that outlives its session.
#[test]
fn sessions_lock_keys_until_they_end() {
    let (_store, web) = start();
    let create = |body: &str| {
        let body = web.put("/v1/session/create", body).1;
        let json: serde_json::Value = serde_json::from_str(&body).unwrap();
        json["ID"].as_str().unwrap().to_owned()
    };
    let put = |action: &str, session: &str| web.put(&format!("{KEY}?{action}={session}"), "v").1;
    let (lasting, short) = (create(""), create(r#"{"TTL": "50ms"}"#));
    assert_eq!(put("acquire", &lasting), "true");
    assert_eq!(put("acquire", &short), "false");
    assert_eq!(put("release", &short), "false");
    assert_eq!(web.json(KEY)[0]["Session"], lasting.as_str());
    assert_eq!(put("release", &lasting), "true");

    let release = format!("{KEY}?release={short}");
    wait_for("session expires", || web.put(&release, "").0 == 500);
    assert_eq!(web.put(&format!("/v1/session/renew/{short}"), "").0, 404);
    let brief = create(r#"{"TTL": "200ms"}"#);
    assert_eq!(put("acquire", &brief), "true");
    let (_, index, _) = web.get(KEY);
    let path = format!("{KEY}?index={}&wait=60s", index.unwrap());
    assert!(web.json(&path)[0].get("Session").is_none());
    assert_eq!(put("acquire", &lasting), "true");
    assert_eq!(web.put(&format!("/v1/session/destroy/{lasting}"), ""), (200, "true".to_owned()));
    assert!(web.json(KEY)[0].get("Session").is_none());
    assert_eq!(web.put(&format!("{KEY}?acquire={lasting}"), "v").0, 500);
}

/// Guards against a lost answer whose write is lost as well, and against a fault that outlasts its
/// count.
#[test]
fn lost_answers_leave_their_writes() {
    let (_store, web) = start();
    web.set_fault("lose_answers=2");
    for value in ["a", "b"] {
        assert!(web.try_put(KEY, value.as_bytes()).is_err());
        assert_eq!(web.get(&format!("{KEY}?raw")).2, value);
    }
    assert_eq!(web.put(KEY, "c"), (200, "true".to_owned()));
}

/// Guards against answers, also of waiting watches, or effects during an outage.
#[test]
fn outage_withholds_answers() {
    let (store, web) = start();
    web.put(KEY, "a");
    let watch = thread::spawn({
        let web = web.clone();
        move || web.try_get(&format!("{KEY}?index=2&wait=300ms")).is_err()
    });
    wait_for("watch waits", || waiting_watches(&web) == 1);
    web.set_fault("outage=true");
    let write = thread::spawn({
        let web = web.clone();
        move || web.try_put(KEY, b"b").is_err()
    });
    wait_for("watch has ended", || waiting_watches(&web) == 0);
    thread::sleep(std::time::Duration::from_millis(100));
    assert!(!watch.is_finished() && !write.is_finished());
    web.set_fault("outage=errors");
    assert_eq!(web.get(KEY).0, 500);
    web.set_fault("outage=false");
    assert_eq!(web.get(&format!("{KEY}?raw")).2, "a");
    drop(store);
    assert!(watch.join().unwrap() && write.join().unwrap());
}

/// Guards against fault switches without effect.
#[test]
fn stale_reads_latency_and_rate_limit_apply() {
    let (_store, web) = start();
    web.put(KEY, "a");
    web.put(KEY, "b");
    web.set_fault("stale_reads=true");
    assert_eq!(web.get(&format!("{KEY}?raw")), (200, Some(2), "a".to_owned()));
    web.set_fault("stale_reads=false&latency_ms=50");
    let started_at = std::time::Instant::now();
    assert_eq!(web.get(&format!("{KEY}?raw")).2, "b");
    assert!(started_at.elapsed() >= std::time::Duration::from_millis(50));
    web.set_fault("latency_ms=0&rate_limit_per_s=1");
    wait_for("limit is reached", || web.get(KEY).0 == 429);
    web.set_fault("rate_limit_per_s=0");
    assert_eq!(web.get(KEY).0, 200);
    assert_eq!(web.put("/standin/fault?no_such_fault=1", "").0, 400);
}

/// Guards against a random byte stream that harms other connections.
#[test]
fn malformed_bytes_cost_their_connection_only() {
    let (store, web) = start();
    web.put(KEY, "a");
    for bytes in [
        &b"\0\xff\x16\x03\x01"[..],
        b"GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
        b"PUT /v1/kv/flamingorock/config HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n",
        b"PUT /v1/kv/flamingorock/config HTTP/1.1\r\nContent-Length: 10\r\n\r\nshort",
        &[b'A'; 100_000],
    ] {
        let mut stream = TcpStream::connect(store.address()).unwrap();
        let _ = stream.write_all(bytes);
        let _ = stream.shutdown(std::net::Shutdown::Write);
        let _ = stream.read_to_end(&mut Vec::new());
    }
    assert_eq!(web.get(&format!("{KEY}?raw")).2, "a");
}
