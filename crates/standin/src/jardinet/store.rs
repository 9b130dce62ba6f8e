//! The platform's store: items with revisions, leases, watches and conditional writes.

use std::collections::BTreeMap;
use std::sync::{Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

use super::encode;
use crate::http::{Reply, Request};
use crate::server::lock;

/// How the store misbehaves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreFault {
    /// It does not.
    #[default]
    None,
    /// It refuses every call.
    Busy,
    /// It does what it is asked and closes the connection without an answer.
    LosesAnswers,
    /// It keeps connections open and does nothing.
    Silent,
}

#[derive(Clone, Debug)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Every change, with the item as it was written or `None` if it was removed.
    history: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
    fault: StoreFault,
}

/// The store.
#[derive(Debug, Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn put_json(&self, key: &str, value: &Value, lease: u64) {
        lock(&self.state).put(key, encode(value), lease);
        self.changed.notify_all();
    }

    /// Rewrites the roles in the entries of instances.
    pub fn rewrite_roles(&self, leader: usize) {
        let mut state = lock(&self.state);
        let entries: Vec<(String, Item)> = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with("servers/"))
            .map(|(key, item)| (key.clone(), item.clone()))
            .collect();
        for (key, item) in entries {
            let bytes = STANDARD.decode(&item.value).unwrap_or_default();
            let mut entry: Value = serde_json::from_slice(&bytes).unwrap_or_default();
            let leads = key == format!("servers/i-{leader}");
            entry["db-role"] = json!(if leads { "primary" } else { "replica" });
            state.put(&key, encode(&entry), 0);
        }
        drop(state);
        self.changed.notify_all();
    }

    pub fn set_fault(&self, fault: StoreFault) {
        lock(&self.state).fault = fault;
        self.changed.notify_all();
    }

    pub fn revoke_leases(&self) {
        let mut state = lock(&self.state);
        let leases: Vec<u64> = state.leases.keys().copied().collect();
        for lease in leases {
            state.end_lease(lease);
        }
        drop(state);
        self.changed.notify_all();
    }

    pub fn handle(&self, request: &Request) -> Reply {
        let fault = lock(&self.state).fault;
        match fault {
            StoreFault::None => self.answer(request),
            StoreFault::Busy => Reply::text(503, "busy"),
            StoreFault::Silent => Reply::Withhold,
            StoreFault::LosesAnswers => {
                if request.method != "GET" {
                    self.answer(request);
                }
                Reply::Close
            }
        }
    }

    fn answer(&self, request: &Request) -> Reply {
        lock(&self.state).expire();
        let query = |name: &str| request.query.get(name).map_or("", String::as_str);
        let reply = match request.path.as_str() {
            "/-/kv-key" => lock(&self.state).get(query("key")),
            "/-/kv-range" => lock(&self.state).range(query("prefix")),
            "/-/kv-watch" => {
                let after = query("after").parse().unwrap_or_default();
                let wait_ms = query("wait-ms").parse().unwrap_or_default();
                self.watch(query("prefix"), after, Duration::from_millis(wait_ms))
            }
            "/-/kv-txn" => lock(&self.state).transact(&body(request)),
            "/-/kv-lease" => lock(&self.state).grant(&body(request)),
            path => match (path.strip_prefix("/-/kv-keep/"), path.strip_prefix("/-/kv-lease-end/"))
            {
                (Some(lease), _) => lock(&self.state).keep(lease),
                (_, Some(lease)) => {
                    lock(&self.state).end_lease(lease.parse().unwrap_or_default());
                    Reply::json(&json!({}))
                }
                _ => Reply::text(404, "no such call"),
            },
        };
        self.changed.notify_all();
        reply
    }

    /// Waits until something has changed. Leases are looked at in between, because nothing else
    /// would notice their end.
    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Reply {
        const LOOK: Duration = Duration::from_millis(50);
        let end = Instant::now() + wait;
        let mut state = lock(&self.state);
        loop {
            state.expire();
            let events = state.events(prefix, after);
            if !events.is_empty() || Instant::now() >= end || state.fault != StoreFault::None {
                return Reply::json(&json!({ "events": events, "as-of": state.revision }));
            }
            let waited = self.changed.wait_timeout(state, LOOK);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

fn body(request: &Request) -> Value {
    serde_json::from_slice(&request.body).unwrap_or_default()
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) -> u64 {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.history.push((self.revision, key.to_owned(), Some(item.clone())));
        self.items.insert(key.to_owned(), item);
        self.revision
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (_, end))| *end <= now).map(|(id, _)| *id).collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| lease != 0 && item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn get(&self, key: &str) -> Reply {
        match self.items.get(key) {
            Some(item) => {
                let mut row = row(key, item);
                row["as-of"] = json!(self.revision);
                Reply::json(&row)
            }
            None => Reply::text(404, "no such key"),
        }
    }

    fn range(&self, prefix: &str) -> Reply {
        let items: Vec<Value> = self
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix))
            .map(|(key, item)| row(key, item))
            .collect();
        Reply::json(&json!({ "items": items, "has-more": false, "as-of": self.revision }))
    }

    fn events(&self, prefix: &str, after: u64) -> Vec<Value> {
        self.history
            .iter()
            .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
            .map(|(revision, key, item)| match item {
                Some(item) => row(key, item),
                None => json!({ "key": key, "revision": revision, "deleted": true }),
            })
            .collect()
    }

    fn transact(&mut self, body: &Value) -> Reply {
        let empty = Vec::new();
        let conditions = body["precondition"].as_array().unwrap_or(&empty);
        let holds = conditions.iter().all(|row| {
            let key = row["key"].as_str().unwrap_or_default();
            let revision = self.items.get(key).map_or(0, |item| item.revision);
            row["revision"].as_u64() == Some(revision)
        });
        if !holds {
            let items: Vec<Value> = conditions
                .iter()
                .filter_map(|condition| {
                    let key = condition["key"].as_str()?;
                    self.items.get(key).map(|item| row(key, item))
                })
                .collect();
            return Reply::json_with_status(412, &json!({ "items": items }));
        }
        let puts = body["puts"].as_array().unwrap_or(&empty).clone();
        let has_lease = |row: &Value| {
            let lease = row["lease"].as_u64().unwrap_or_default();
            lease == 0 || self.leases.contains_key(&lease)
        };
        if !puts.iter().all(has_lease) {
            return Reply::text(404, "no such lease");
        }
        for row in puts {
            let key = row["key"].as_str().unwrap_or_default();
            let value = row["value"].as_str().unwrap_or_default().to_owned();
            self.put(key, value, row["lease"].as_u64().unwrap_or_default());
        }
        Reply::json(&json!({ "revision": self.revision }))
    }

    fn grant(&mut self, body: &Value) -> Reply {
        let ttl = Duration::from_millis(body["ttl-ms"].as_u64().unwrap_or(1000).max(1000));
        self.next_lease += 1;
        self.leases.insert(self.next_lease, (ttl, Instant::now() + ttl));
        Reply::json(&json!({ "lease": self.next_lease, "ttl-ms": ttl.as_millis() as u64 }))
    }

    fn keep(&mut self, lease: &str) -> Reply {
        match lease.parse().ok().and_then(|lease: u64| self.leases.get_mut(&lease)) {
            Some((ttl, end)) => {
                *end = Instant::now() + *ttl;
                Reply::json(&json!({ "ttl-ms": ttl.as_millis() as u64 }))
            }
            None => Reply::text(404, "no such lease"),
        }
    }
}

fn row(key: &str, item: &Item) -> Value {
    json!({
        "key": key, "value": item.value, "revision": item.revision, "created": item.created,
        "lease": item.lease,
    })
}
