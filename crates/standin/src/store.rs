//! Key-value service: the part of the Consul KV HTTP API that the design page names.

mod entries;
mod error;
mod faults;
mod sessions;

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::json;

use crate::http::{self, Answer, Reply, Request};
use crate::server::{self, Server};
use entries::{Entries, Entry, Write};
use error::StoreError;
use faults::{Calls, StoreFaults};
use sessions::Sessions;

/// Largest value, from section 3 of the design page.
const VALUE_LIMIT_BYTES: usize = 1 << 20;
/// Wait of a blocking query that names none, and the longest one, as in Consul.
const DEFAULT_WAIT: Duration = Duration::from_secs(300);
const WAIT_LIMIT: Duration = Duration::from_secs(600);

#[derive(Debug, Default)]
struct State {
    entries: Entries,
    sessions: Sessions,
    faults: StoreFaults,
    calls: Calls,
    stopped: bool,
}

#[derive(Debug, Default)]
struct Service {
    state: Mutex<State>,
    changed: Condvar,
}

/// A running key-value service; it stops when the handle is dropped.
///
/// `PUT /standin/fault?NAME=VALUE&...` sets the faults `latency_ms`, `outage` (`true`: no answers,
/// `errors`: status 500, `false`), `lose_answers` (number of writes that take effect without an
/// answer), `lose_answers_of` (the only key whose writes count for that), `stale_reads` (`true`: reads return the state before the last change of a key) and
/// `rate_limit_per_s` (0: no limit). `GET /standin/calls` returns the counts of calls.
pub struct Store {
    service: Arc<Service>,
    server: Server,
}

impl Store {
    /// Starts an empty service. Port 0 lets the system choose the port.
    ///
    /// # Errors
    ///
    /// Fails when the port cannot be bound.
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let service = Arc::new(Service::default());
        let shared = Arc::clone(&service);
        let serve = move |stream| http::serve(stream, |request| shared.handle(request));
        let server = Server::spawn(TcpListener::bind(address)?, serve)?;
        Ok(Self { service, server })
    }

    /// Address of the HTTP port.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Ends the service; its contents are lost.
    pub fn stop(self) {
        drop(self);
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        self.service.lock().stopped = true;
        self.service.changed.notify_all();
        self.server.stop();
    }
}

impl Service {
    fn lock(&self) -> MutexGuard<'_, State> {
        server::lock(&self.state)
    }

    fn handle(&self, request: &Request) -> Reply {
        match (request.method.as_str(), request.path.as_str()) {
            ("PUT", "/standin/fault") => return self.set_faults(request),
            ("GET", "/standin/calls") => return Reply::json(&self.lock().calls.to_json()),
            _ => {}
        }
        let latency = Duration::from_millis(self.lock().faults.latency_ms);
        if !latency.is_zero() {
            thread::sleep(latency);
        }
        let is_read = request.method == "GET";
        let mut state = self.lock();
        state.calls.count(is_read);
        if let Some(refusal) = state.faults.refuse() {
            return refusal;
        }
        let key = request.path.strip_prefix("/v1/kv/");
        let reply = match (request.method.as_str(), key) {
            ("GET", Some(prefix)) if request.query.contains_key("keys") => {
                return state.keys(prefix, request);
            }
            ("GET", Some(key)) => return self.get(state, key, request),
            ("DELETE", Some(key)) => state.delete(key, request),
            ("PUT", Some(key)) => state.put(key, request),
            ("PUT", None) => state.session(request),
            _ => return Reply::text(404, "no such path"),
        };
        self.changed.notify_all();
        state.faults.lose(key, reply)
    }

    fn set_faults(&self, request: &Request) -> Reply {
        let result = self.lock().faults.set(&request.query);
        self.changed.notify_all();
        result.map_or_else(malformed, |()| Reply::text(200, "true"))
    }

    /// Reads a key; with `index`, waits until the key has changed after that index.
    fn get<'a>(&'a self, mut state: MutexGuard<'a, State>, key: &str, request: &Request) -> Reply {
        let parameter = |name: &str| request.query.get(name).map(String::as_str);
        let Ok(after) = parameter("index").unwrap_or("0").parse::<u64>() else {
            return malformed(StoreError::value("index", parameter("index").unwrap_or_default()));
        };
        let Some(wait) = parameter("wait").map_or(Some(DEFAULT_WAIT), parse_duration) else {
            return malformed(StoreError::value("wait", parameter("wait").unwrap_or_default()));
        };
        if after > 0 {
            let deadline = Instant::now() + wait.min(WAIT_LIMIT);
            state.calls.waiting_watches += 1;
            state = self.wait_after(state, key, after, deadline);
            state.calls.waiting_watches -= 1;
        }
        if state.faults.is_out() {
            return state.faults.refuse_outage();
        }
        let (entry, index) = state.entries.read(key, state.faults.stale_reads);
        match entry {
            None => Reply::text(404, ""),
            Some(entry) if parameter("raw").is_some() => Reply::Answer(Answer {
                status: 200,
                content_type: "application/octet-stream",
                index: None,
                body: entry.value.clone(),
            }),
            Some(entry) => Reply::json(&json!([entry_json(key, entry)])),
        }
        .with_index(index)
    }

    fn wait_after<'a>(
        &'a self,
        mut state: MutexGuard<'a, State>,
        key: &str,
        after: u64,
        deadline: Instant,
    ) -> MutexGuard<'a, State> {
        loop {
            let now = Instant::now();
            state.expire(now);
            let (_, index) = state.entries.read(key, state.faults.stale_reads);
            if index > after || now >= deadline || state.stopped {
                return state;
            }
            // A session that expires changes its keys without any call.
            let next = state.sessions.next_expiry().map_or(deadline, |expiry| expiry.min(deadline));
            let left = next.saturating_duration_since(now);
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

impl State {
    /// Releases the locks of sessions whose time to live has passed.
    fn expire(&mut self, now: Instant) {
        for (id, deletes) in self.sessions.expire(now) {
            self.entries.release_all(&id, deletes);
        }
    }

    fn put(&mut self, key: &str, request: &Request) -> Reply {
        self.expire(Instant::now());
        if request.body.len() > VALUE_LIMIT_BYTES {
            return Reply::text(413, format!("value exceeds {VALUE_LIMIT_BYTES} bytes"));
        }
        let write = match Write::from_query(&request.query) {
            Ok(write) => write,
            Err(error) => return malformed(error),
        };
        if let Write::Acquire(session) | Write::Release(session) = &write
            && !self.sessions.contains(session)
        {
            return Reply::text(500, format!("invalid session {session:?}"));
        }
        let written = self.entries.write(key, &request.body, &write);
        Reply::json(&json!(written))
    }

    /// Lists the keys with a prefix.
    fn keys(&mut self, prefix: &str, request: &Request) -> Reply {
        self.expire(Instant::now());
        if request.query.contains_key("index") {
            return Reply::text(400, "a list of keys cannot be watched");
        }
        let (keys, index) = self.entries.keys(prefix, self.faults.stale_reads);
        let reply = if keys.is_empty() { Reply::text(404, "") } else { Reply::json(&json!(keys)) };
        reply.with_index(index)
    }

    /// Deletes one key. Conditions and subtrees are refused: ignoring them would delete something
    /// else than was asked for.
    fn delete(&mut self, key: &str, request: &Request) -> Reply {
        self.expire(Instant::now());
        if !request.query.is_empty() {
            return Reply::text(400, "DELETE takes no parameters");
        }
        self.entries.delete(key);
        Reply::json(&json!(true))
    }

    fn session(&mut self, request: &Request) -> Reply {
        let now = Instant::now();
        self.expire(now);
        let path = request.path.strip_prefix("/v1/session/").unwrap_or_default();
        match path.split_once('/').unwrap_or((path, "")) {
            ("create", _) => match self.sessions.create(&request.body, now) {
                Ok(id) => Reply::json(&json!({ "ID": id })),
                Err(error) => malformed(error),
            },
            ("renew", id) if self.sessions.renew(id, now) => Reply::json(&json!([{ "ID": id }])),
            ("renew", id) => Reply::text(404, format!("session {id:?} does not exist")),
            ("destroy", id) => {
                if let Some(deletes) = self.sessions.destroy(id) {
                    self.entries.release_all(id, deletes);
                }
                Reply::json(&json!(true))
            }
            _ => Reply::text(404, "no such path"),
        }
    }
}

fn entry_json(key: &str, entry: &Entry) -> serde_json::Value {
    let mut json = json!({
        "Key": key,
        "Value": STANDARD.encode(&entry.value),
        "Flags": 0,
        "LockIndex": entry.lock_index,
        "CreateIndex": entry.create_index,
        "ModifyIndex": entry.modify_index,
    });
    if let Some(session) = &entry.session {
        json["Session"] = json!(session);
    }
    json
}

fn malformed(error: StoreError) -> Reply {
    Reply::text(400, error.to_string())
}

/// Reads a duration such as `10s`, `500ms` or `5m`.
fn parse_duration(text: &str) -> Option<Duration> {
    let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
    let number: u64 = digits.parse::<u32>().ok()?.into();
    match &text[digits.len()..] {
        "ms" => Some(Duration::from_millis(number)),
        "s" | "" => Some(Duration::from_secs(number)),
        "m" => Some(Duration::from_secs(number * 60)),
        _ => None,
    }
}
