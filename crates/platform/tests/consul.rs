//! Tests of the Consul clients against canned HTTP responses on loopback.

use std::fmt::Debug;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use flamingorock_platform::{ConsulHostList, ConsulStore, HostList, KeyValueStore, StoreError};

/// Deadline that no test reaches.
fn far_deadline() -> Instant {
    Instant::now() + Duration::from_secs(60)
}

/// Serves one connection: reads a request before each of `responses`, and closes the connection
/// after the last one. The thread returns the request lines with their bodies.
fn serve(responses: Vec<String>) -> (String, JoinHandle<Vec<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let url = format!("http://{}", listener.local_addr().expect("an address"));
    let thread = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut requests = Vec::new();
        for response in responses {
            requests.push(read_request(&mut stream));
            // The write fails if the client has closed the connection, as it does when a response
            // is too large.
            drop(stream.write_all(response.as_bytes()));
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

fn response(status: &str, index: u64, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\nX-Consul-Index: {index}\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

/// Formats the result of a call. Hides the port, which differs from run to run.
fn format_result<T: Debug>(url: &str, result: Result<T, StoreError>) -> String {
    let text = match result {
        Ok(value) => format!("{value:?}"),
        Err(error) => format!("{:?}: {error}", error.effect()),
    };
    text.replace(url, "http://STORE")
}

/// Guards against requests that do not follow the Consul API, responses that are decoded wrongly,
/// and a new connection for each call.
#[test]
fn calls_follow_the_published_api() {
    let entry = r#"[{"Key":"k","ModifyIndex":12,"Value":"dmFsdWU=","Flags":0}]"#;
    let (url, server) = serve(vec![
        response("200 OK", 12, entry),
        response("404 Not Found", 9, ""),
        response("200 OK", 12, "true"),
        response("200 OK", 12, "false\n"),
        response("200 OK", 14, entry),
        response("404 Not Found", 21, ""),
        response("200 OK", 22, entry),
        response("200 OK", 22, r#"["fleet/b","fleet/a"]"#),
        response("404 Not Found", 22, ""),
        response("200 OK", 23, "true"),
    ]);
    let store = ConsulStore::new(&url);
    let results = [
        format_result(&url, store.get("fleet/k", far_deadline())),
        format_result(&url, store.get("fleet/missing", far_deadline())),
        format_result(&url, store.compare_and_swap("fleet/k", 12, b"new", far_deadline())),
        format_result(&url, store.compare_and_swap("fleet/k", 0, b"", far_deadline())),
        format_result(&url, store.watch("fleet/k", 12, far_deadline())),
        format_result(&url, store.watch("fleet/missing", 0, far_deadline())),
        format_result(&url, store.list("fleet/", far_deadline())),
        format_result(&url, store.list("other/", far_deadline())),
        format_result(&url, store.remove("fleet/a", far_deadline())),
    ];
    let requests: Vec<String> =
        server.join().expect("no panic").iter().map(|line| hide_wait(line)).collect();
    insta::assert_snapshot!(format!("{}\n\n{}", requests.join("\n"), results.join("\n")));
}

/// Hides the value of `wait`, which depends on the time left before the deadline.
fn hide_wait(line: &str) -> String {
    match line.split_once("&wait=") {
        Some((head, tail)) => {
            let rest = tail.trim_start_matches(|c: char| c.is_ascii_digit());
            format!("{head}&wait=TIME{rest}")
        }
        None => line.to_owned(),
    }
}

/// Guards against a write that is reported as having no effect although it may have taken effect:
/// an operator would apply twice. Also guards against the reverse, which causes needless retries.
#[test]
fn errors_report_the_effect() {
    let write = |responses: Vec<String>| {
        let (url, server) = serve(responses);
        let result = ConsulStore::new(&url).compare_and_swap("k", 1, b"v", far_deadline());
        drop(server.join());
        format_result(&url, result)
    };
    // No test listens on this loopback address.
    let refusing_url = "http://127.0.0.2:1";
    let store = ConsulStore::new(refusing_url);
    let large = vec![b'x'; ConsulStore::MAX_VALUE_BYTES + 1];
    let results = [
        (
            "refused",
            format_result(refusing_url, store.compare_and_swap("k", 1, b"v", far_deadline())),
        ),
        (
            "deadline passed",
            format_result(refusing_url, store.compare_and_swap("k", 1, b"v", Instant::now())),
        ),
        (
            "too large",
            format_result(refusing_url, store.compare_and_swap("k", 1, &large, far_deadline())),
        ),
        (
            "invalid key",
            format_result(refusing_url, store.compare_and_swap("k?x", 1, b"v", far_deadline())),
        ),
        ("closed without a response", write(vec![String::new()])),
        (
            "truncated body",
            write(vec!["HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntr".to_owned()]),
        ),
        ("status 500", write(vec![response("500 Internal Server Error", 1, "rpc error")])),
        ("status 403", write(vec![response("403 Forbidden", 1, "denied")])),
        ("status 429", write(vec![response("429 Too Many Requests", 1, "slow down")])),
        ("redirect", write(vec![response("301 Moved Permanently", 1, "")])),
        ("neither true nor false", write(vec![response("200 OK", 1, "<html>")])),
    ];
    let lines: Vec<String> =
        results.iter().map(|(label, result)| format!("{label}: {result}")).collect();
    insta::assert_snapshot!(lines.join("\n"));
}

/// Guards against a thread that stays blocked because the service accepts the connection and never
/// responds.
#[test]
fn deadline_ends_a_call() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let url = format!("http://{}", listener.local_addr().expect("an address"));
    let deadline = Instant::now() + Duration::from_millis(100);
    let result = ConsulStore::new(&url).compare_and_swap("k", 1, b"v", deadline);
    insta::assert_snapshot!(format_result(&url, result));
}

/// Guards against a response body that exhausts the memory.
#[test]
fn oversized_response_is_an_error() {
    let body = format!("[\"{}\"]", "x".repeat(3 << 20));
    let (url, server) = serve(vec![response("200 OK", 1, &body)]);
    let result = ConsulStore::new(&url).list("fleet/", far_deadline());
    drop(server);
    insta::assert_snapshot!(format_result(&url, result));
}

/// Guards against a wrongly decoded host list. A leaving host that is read as live gets new work. A
/// missing list that is read as an empty one makes leaving hosts live again.
#[test]
fn host_list_is_decoded() {
    let nodes = r#"[
        {"Node":"db-2","Address":"10.0.0.2","Meta":{"state":"leaving"}},
        {"Node":"db-1","Address":"10.0.0.1","Meta":{"state":"live","rack":"4"}},
        {"Node":"db-3","Address":"10.0.0.3","Meta":null},
        {"Node":"elsewhere","Address":"host.example"}
    ]"#;
    let (url, server) = serve(vec![
        response("200 OK", 1, nodes),
        response("404 Not Found", 1, ""),
        response("200 OK", 1, "{}"),
    ]);
    let list = ConsulHostList::new(&url);
    let results: Vec<String> =
        (0..3).map(|_| format_result(&url, list.read(far_deadline()))).collect();
    drop(server.join());
    insta::assert_snapshot!(results.join("\n"));
}
