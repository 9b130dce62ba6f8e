//! The Consul clients against canned HTTP answers on loopback.

use std::fmt::Debug;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use flamingorock_platform::{ConsulHostList, ConsulStore, HostList, KeyValueStore, StoreError};

/// Deadline that no test reaches.
fn far() -> Instant {
    Instant::now() + Duration::from_secs(60)
}

/// Answers one connection: reads a request for each answer, and closes after the last one. Returns
/// the request lines with their bodies.
fn serve(answers: Vec<String>) -> (String, JoinHandle<Vec<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let url = format!("http://{}", listener.local_addr().expect("an address"));
    let thread = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut requests = Vec::new();
        for answer in answers {
            requests.push(read_request(&mut stream));
            // The client closes the connection when an answer is too large.
            drop(stream.write_all(answer.as_bytes()));
        }
        requests
    });
    (url, thread)
}

fn read_request(stream: &mut impl Read) -> String {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&bytes);
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|line| {
                let (name, value) = line.split_once(": ")?;
                name.eq_ignore_ascii_case("content-length").then(|| value.parse().ok())?
            });
            if body.len() >= length.unwrap_or(0) {
                return format!("{} {body}", head.lines().next().unwrap_or_default());
            }
        }
        let count = stream.read(&mut buffer).expect("an open connection");
        assert!(count > 0, "the client closed the connection");
        bytes.extend_from_slice(&buffer[..count]);
    }
}

fn answer(status: &str, index: u64, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\nX-Consul-Index: {index}\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

/// Result of a call without the port, which differs from run to run.
fn show<T: Debug>(url: &str, result: Result<T, StoreError>) -> String {
    let text = match result {
        Ok(value) => format!("{value:?}"),
        Err(error) => format!("{:?}: {error}", error.effect()),
    };
    text.replace(url, "http://STORE")
}

/// Guards against requests that Consul would not understand, against wrongly decoded answers, and
/// against a new connection for each call.
#[test]
fn calls_follow_the_published_api() {
    let entry = r#"[{"Key":"k","ModifyIndex":12,"Value":"dmFsdWU=","Flags":0}]"#;
    let (url, server) = serve(vec![
        answer("200 OK", 12, entry),
        answer("404 Not Found", 9, ""),
        answer("200 OK", 12, "true"),
        answer("200 OK", 12, "false\n"),
        answer("200 OK", 14, entry),
        answer("404 Not Found", 21, ""),
        answer("200 OK", 22, entry),
        answer("200 OK", 22, r#"["fleet/b","fleet/a"]"#),
        answer("404 Not Found", 22, ""),
        answer("200 OK", 23, "true"),
    ]);
    let store = ConsulStore::new(&url);
    let results = [
        show(&url, store.get("fleet/k", far())),
        show(&url, store.get("fleet/missing", far())),
        show(&url, store.compare_and_swap("fleet/k", 12, b"new", far())),
        show(&url, store.compare_and_swap("fleet/k", 0, b"", far())),
        show(&url, store.watch("fleet/k", 12, far())),
        show(&url, store.watch("fleet/missing", 0, far())),
        show(&url, store.list("fleet/", far())),
        show(&url, store.list("other/", far())),
        show(&url, store.remove("fleet/a", far())),
    ];
    let requests: Vec<String> =
        server.join().expect("no panic").iter().map(|line| hide_wait(line)).collect();
    insta::assert_snapshot!(format!("{}\n\n{}", requests.join("\n"), results.join("\n")));
}

/// The wait depends on the time left.
fn hide_wait(line: &str) -> String {
    match line.split_once("&wait=") {
        Some((head, tail)) => {
            let rest = tail.trim_start_matches(|c: char| c.is_ascii_digit());
            format!("{head}&wait=TIME{rest}")
        }
        None => line.to_owned(),
    }
}

/// Guards against a failed write that is reported as without effect although it may have taken
/// effect, and the reverse: an operator would apply twice or retry for nothing.
#[test]
fn errors_tell_the_effect() {
    let write = |answers: Vec<String>| {
        let (url, server) = serve(answers);
        let result = ConsulStore::new(&url).compare_and_swap("k", 1, b"v", far());
        drop(server.join());
        show(&url, result)
    };
    // No test listens on this loopback address.
    let refusing = "http://127.0.0.2:1";
    let store = ConsulStore::new(refusing);
    let large = vec![b'x'; ConsulStore::MAX_VALUE_BYTES + 1];
    let results = [
        ("refused", show(refusing, store.compare_and_swap("k", 1, b"v", far()))),
        ("too late", show(refusing, store.compare_and_swap("k", 1, b"v", Instant::now()))),
        ("too large", show(refusing, store.compare_and_swap("k", 1, &large, far()))),
        ("bad key", show(refusing, store.compare_and_swap("k?x", 1, b"v", far()))),
        ("closed without an answer", write(vec![String::new()])),
        ("cut short", write(vec!["HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntr".to_owned()])),
        ("status 500", write(vec![answer("500 Internal Server Error", 1, "rpc error")])),
        ("status 403", write(vec![answer("403 Forbidden", 1, "denied")])),
        ("status 429", write(vec![answer("429 Too Many Requests", 1, "slow down")])),
        ("redirect", write(vec![answer("301 Moved Permanently", 1, "")])),
        ("no answer to a write", write(vec![answer("200 OK", 1, "<html>")])),
    ];
    let lines: Vec<String> =
        results.iter().map(|(what, result)| format!("{what}: {result}")).collect();
    insta::assert_snapshot!(lines.join("\n"));
}

/// Guards against a service that never answers and blocks a thread for ever.
#[test]
fn deadline_ends_a_call() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let url = format!("http://{}", listener.local_addr().expect("an address"));
    let deadline = Instant::now() + Duration::from_millis(100);
    let result = ConsulStore::new(&url).compare_and_swap("k", 1, b"v", deadline);
    insta::assert_snapshot!(show(&url, result));
}

/// Guards against an answer that fills the memory.
#[test]
fn oversized_answer_is_an_error() {
    let body = format!("[\"{}\"]", "x".repeat(3 << 20));
    let (url, server) = serve(vec![answer("200 OK", 1, &body)]);
    let result = ConsulStore::new(&url).list("fleet/", far());
    drop(server);
    insta::assert_snapshot!(show(&url, result));
}

/// Guards against a list that is read wrongly: a leaving host that looks live gets new work, and a
/// missing list that looks empty makes leaving hosts live again.
#[test]
fn host_list_is_read() {
    let nodes = r#"[
        {"Node":"db-2","Address":"10.0.0.2","Meta":{"state":"leaving"}},
        {"Node":"db-1","Address":"10.0.0.1","Meta":{"state":"live","rack":"4"}},
        {"Node":"db-3","Address":"10.0.0.3","Meta":null},
        {"Node":"elsewhere","Address":"host.example"}
    ]"#;
    let (url, server) = serve(vec![
        answer("200 OK", 1, nodes),
        answer("404 Not Found", 1, ""),
        answer("200 OK", 1, "{}"),
    ]);
    let list = ConsulHostList::new(&url);
    let results: Vec<String> = (0..3).map(|_| show(&url, list.read(far()))).collect();
    drop(server.join());
    insta::assert_snapshot!(results.join("\n"));
}
