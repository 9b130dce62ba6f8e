//! Stand-ins for the scripts of the review: the platform's store, its promotion call, the instances
//! of one service, and clients. One process runs all of them as threads, starts the proxies as
//! separate processes, and writes what was sent, answered and run to `record.txt`.
//!
//! Only the standard library is used, so that `rustc` alone builds it.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn listen(socket: i32, backlog: i32) -> i32;
}

const SIGKILL: i32 = 9;
const SIGCONT: i32 = 18;


fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

// ---------------------------------------------------------------------------------- the record

struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    fn line(&self, text: &str) {
        let seconds = self.seconds();
        let _ = writeln!(lock(&self.file), "{seconds:8.3} {text}");
    }

    /// Writes a line to the record and to standard output.
    fn say(&self, text: &str) {
        let seconds = self.seconds();
        println!("{seconds:8.3} {text}");
        let _ = writeln!(lock(&self.file), "{seconds:8.3} {text}");
    }
}

// ---------------------------------------------------------------------------------- JSON, base64

#[derive(Clone, Debug)]
enum Json {
    Null,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    fn parse(text: &[u8]) -> Json {
        let mut at = 0;
        Self::value(text, &mut at)
    }

    fn blanks(text: &[u8], at: &mut usize) {
        while *at < text.len() && text[*at].is_ascii_whitespace() {
            *at += 1;
        }
    }

    fn value(text: &[u8], at: &mut usize) -> Json {
        Self::blanks(text, at);
        match text.get(*at) {
            Some(b'{') => {
                let mut table = BTreeMap::new();
                *at += 1;
                loop {
                    Self::blanks(text, at);
                    match text.get(*at) {
                        Some(b'"') => {
                            let Json::Text(name) = Self::value(text, at) else { break };
                            Self::blanks(text, at);
                            *at += 1;
                            table.insert(name, Self::value(text, at));
                        }
                        Some(b',') => *at += 1,
                        _ => {
                            *at += 1;
                            break;
                        }
                    }
                }
                Json::Table(table)
            }
            Some(b'[') => {
                let mut list = Vec::new();
                *at += 1;
                loop {
                    Self::blanks(text, at);
                    match text.get(*at) {
                        Some(b',') => *at += 1,
                        Some(b']') | None => {
                            *at += 1;
                            break;
                        }
                        _ => list.push(Self::value(text, at)),
                    }
                }
                Json::List(list)
            }
            Some(b'"') => {
                let mut out = String::new();
                *at += 1;
                while *at < text.len() && text[*at] != b'"' {
                    if text[*at] == b'\\' {
                        *at += 1;
                    }
                    out.push(char::from(text[*at]));
                    *at += 1;
                }
                *at += 1;
                Json::Text(out)
            }
            Some(_) => {
                let from = *at;
                while *at < text.len() && !b",]} \r\n".contains(&text[*at]) {
                    *at += 1;
                }
                let word = String::from_utf8_lossy(&text[from..*at]);
                word.parse().map_or(Json::Null, Json::Number)
            }
            None => Json::Null,
        }
    }

    fn get(&self, name: &str) -> &Json {
        const NULL: Json = Json::Null;
        match self {
            Json::Table(table) => table.get(name).unwrap_or(&NULL),
            _ => &NULL,
        }
    }

    fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }

    fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn to_base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let group = (0..3).fold(0u32, |sum, i| sum << 8 | u32::from(*chunk.get(i).unwrap_or(&0)));
        for i in 0..4 {
            if i <= chunk.len() {
                out.push(char::from(ALPHABET[(group >> (18 - 6 * i) & 63) as usize]));
            } else {
                out.push('=');
            }
        }
    }
    out
}

fn from_base64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut sum, mut bits) = (0u32, 0);
    for byte in text.bytes() {
        let Some(digit) = ALPHABET.iter().position(|other| *other == byte) else { continue };
        sum = sum << 6 | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((sum >> bits) as u8);
            sum &= (1 << bits) - 1;
        }
    }
    out
}

// ---------------------------------------------------------------------------------- HTTP

struct Call {
    method: String,
    path: String,
    query: HashMap<String, String>,
    headers: HashMap<String, String>,
    body: Vec<u8>,
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3).and_then(|hex| std::str::from_utf8(hex).ok());
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()).filter(|_| bytes[at] == b'%') {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads one request; `None` if the connection ends before it is complete.
fn read_call(stream: &TcpStream) -> Option<Call> {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|count| *count > 0)?;
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut headers = HashMap::new();
    loop {
        let mut header = String::new();
        reader.read_line(&mut header).ok().filter(|count| *count > 0)?;
        match header.trim_end().split_once(':') {
            Some((name, value)) => {
                headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
            }
            None => break,
        }
    }
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let (path, rest) = target.split_once('?').unwrap_or((&target, ""));
    let query = rest
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_owned(), percent_decode(value)))
        .collect();
    Some(Call { method, path: path.to_owned(), query, headers, body })
}

fn reply(mut stream: &TcpStream, status: u16, body: &str) -> io::Result<()> {
    let text = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\
         Connection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes())
}

// ---------------------------------------------------------------------------------- the store

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, Option<Item>)>,
    leases: HashMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
    /// Writes of promotion records: when, and the name of the proxy that is named in them.
    promotions: Mutex<Vec<(Instant, Vec<u8>)>>,
    /// While it is set, the store does not do what it is asked, and answers nothing. A connection on
    /// which an answer is lost stays open and returns nothing further.
    is_silent: AtomicBool,
    record: Arc<Record>,
}

impl StoreState {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.history.push((self.revision, key.to_owned(), Some(item.clone())));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let bound = |item: &Item| lease != 0 && item.lease == lease;
        let keys: Vec<String> =
            self.items.iter().filter(|(_, item)| bound(item)).map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }
}

fn item_text(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        item.value, item.revision, item.created, item.lease
    )
}

/// Time that the store takes for an answer.
const STORE_ANSWER: Duration = Duration::from_millis(4);

impl Store {
    fn start(address: SocketAddr, record: Arc<Record>) -> Arc<Store> {
        let store = Arc::new(Store {
            state: Mutex::default(),
            changed: Condvar::new(),
            promotions: Mutex::default(),
            is_silent: AtomicBool::new(false),
            record,
        });
        let listener = TcpListener::bind(address).expect("the store's address is free");
        let serving = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                thread::spawn(move || {
                    let Some(call) = read_call(&stream) else { return };
                    thread::sleep(STORE_ANSWER);
                    if !store.is_silent.load(Ordering::SeqCst) {
                        let (status, body) = store.answer(&call);
                        if !store.is_silent.load(Ordering::SeqCst) {
                            let _ = reply(&stream, status, &body);
                            return;
                        }
                    }
                    thread::sleep(Duration::from_secs(200));
                });
            }
        });
        let expiring = Arc::clone(&store);
        thread::spawn(move || loop {
            thread::sleep(ms(20));
            let mut state = lock(&expiring.state);
            let now = Instant::now();
            let over: Vec<u64> =
                state.leases.iter().filter(|(_, (_, end))| *end <= now).map(|(id, _)| *id).collect();
            for lease in &over {
                state.end_lease(*lease);
            }
            drop(state);
            if !over.is_empty() {
                expiring.changed.notify_all();
            }
        });
        store
    }

    /// A write of the operator or of an instance.
    fn put(&self, key: &str, json: &str) {
        lock(&self.state).put(key, to_base64(json.as_bytes()), 0);
        self.record.line(&format!("store: {key} is {json}"));
        self.changed.notify_all();
    }

    fn remove(&self, key: &str) {
        lock(&self.state).remove(key);
        self.record.line(&format!("store: {key} is removed"));
        self.changed.notify_all();
    }

    fn answer(&self, call: &Call) -> (u16, String) {
        let query = |name: &str| call.query.get(name).map_or("", String::as_str);
        let answer = match call.path.as_str() {
            "/-/kv-key" => {
                let state = lock(&self.state);
                match state.items.get(query("key")) {
                    Some(item) => {
                        let mut text = item_text(query("key"), item);
                        text.pop();
                        (200, format!("{text},\"as-of\":{}}}", state.revision))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            "/-/kv-range" => {
                let state = lock(&self.state);
                let (prefix, after) = (query("prefix"), query("after"));
                let rows: Vec<String> = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
                    .map(|(key, item)| item_text(key, item))
                    .collect();
                let has_more = rows.len() > 500;
                let rows = rows.into_iter().take(500).collect::<Vec<_>>().join(",");
                let revision = state.revision;
                (200, format!("{{\"items\":[{rows}],\"has-more\":{has_more},\"as-of\":{revision}}}"))
            }
            "/-/kv-watch" => self.watch(call),
            "/-/kv-txn" => self.transact(call),
            "/-/kv-lease" => {
                let ttl = ms(Json::parse(&call.body).get("ttl-ms").number().max(1000));
                let mut state = lock(&self.state);
                state.next_lease += 1;
                let lease = state.next_lease;
                state.leases.insert(lease, (ttl, Instant::now() + ttl));
                (200, format!("{{\"lease\":{lease},\"ttl-ms\":{}}}", ttl.as_millis()))
            }
            path => {
                let mut state = lock(&self.state);
                if let Some(lease) = path.strip_prefix("/-/kv-keep/") {
                    match lease.parse().ok().and_then(|id: u64| state.leases.get_mut(&id)) {
                        Some((ttl, end)) => {
                            *end = Instant::now() + *ttl;
                            (200, format!("{{\"ttl-ms\":{}}}", ttl.as_millis()))
                        }
                        None => (404, "{}".to_owned()),
                    }
                } else if let Some(lease) = path.strip_prefix("/-/kv-lease-end/") {
                    state.end_lease(lease.parse().unwrap_or(0));
                    (200, "{}".to_owned())
                } else {
                    (404, "{}".to_owned())
                }
            }
        };
        if call.method != "GET" {
            self.changed.notify_all();
        }
        answer
    }

    fn watch(&self, call: &Call) -> (u16, String) {
        let query = |name: &str| call.query.get(name).map_or("", String::as_str);
        let after: u64 = query("after").parse().unwrap_or(0);
        let end = Instant::now() + ms(query("wait-ms").parse().unwrap_or(0));
        let mut state = lock(&self.state);
        loop {
            let rows: Vec<String> = state
                .history
                .iter()
                .rev()
                .take_while(|(revision, ..)| *revision > after)
                .filter(|(_, key, _)| key.starts_with(query("prefix")))
                .map(|(revision, key, item)| match item {
                    Some(item) => item_text(key, item),
                    None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"),
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let rows = rows.into_iter().rev().collect::<Vec<_>>().join(",");
                return (200, format!("{{\"events\":[{rows}],\"as-of\":{}}}", state.revision));
            }
            state = self
                .changed
                .wait_timeout(state, left)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }

    fn transact(&self, call: &Call) -> (u16, String) {
        let body = Json::parse(&call.body);
        let mut state = lock(&self.state);
        let conditions = body.get("precondition").list();
        let holds = conditions.iter().all(|row| {
            let revision = state.items.get(row.get("key").text()).map_or(0, |item| item.revision);
            row.get("revision").number() == revision
        });
        if !holds {
            let rows: Vec<String> = conditions
                .iter()
                .filter_map(|row| {
                    let key = row.get("key").text();
                    state.items.get(key).map(|item| item_text(key, item))
                })
                .collect();
            return (412, format!("{{\"items\":[{}]}}", rows.join(",")));
        }
        for row in body.get("puts").list() {
            let lease = row.get("lease").number();
            if lease != 0 && !state.leases.contains_key(&lease) {
                return (404, "{}".to_owned());
            }
            let key = row.get("key").text();
            if key.starts_with("op/") || key.starts_with("servers/") {
                return (403, "{}".to_owned());
            }
            let value = row.get("value").text().to_owned();
            if key.starts_with("flamingorock/promotion/") {
                let bytes = from_base64(&value);
                self.record.say(&format!("store: {key} is written: {}", printable(&bytes)));
                lock(&self.promotions).push((Instant::now(), bytes));
            }
            state.put(key, value, lease);
        }
        (200, format!("{{\"revision\":{}}}", state.revision))
    }
}

fn printable(bytes: &[u8]) -> String {
    let visible = |byte: &u8| byte.is_ascii_graphic();
    bytes.iter().map(|byte| if visible(byte) { char::from(*byte) } else { '.' }).collect()
}

// ---------------------------------------------------------------------------------- instances

#[derive(Clone)]
struct Commit {
    term: u64,
    number: u64,
    request: String,
    item: String,
    data: String,
    received: Instant,
}

struct Instance {
    id: String,
    address: SocketAddr,
    is_up: bool,
    is_draining: bool,
    leads: bool,
    term: u64,
    log: Vec<Commit>,
    /// When an instance that leads a later term has taken its place.
    superseded: Option<Instant>,
    connections: Vec<TcpStream>,
}

/// A run of a statement of a client.
struct Run {
    request: String,
    instance: String,
    at: Instant,
}

struct Group {
    service: String,
    instances: Vec<Instance>,
    born: u64,
    runs: Vec<Run>,
    /// Writes that were committed anywhere.
    committed: std::collections::HashSet<String>,
    /// Requests whose commit took place at an instance that had been superseded.
    late_commits: Vec<String>,
    /// Fencing tokens of the promotion calls, in the order of their arrival.
    tokens: Vec<u64>,
}

const REPLICA_LAG: Duration = Duration::from_millis(60);
const PROMOTION: Duration = Duration::from_millis(1000);
const WORK: Duration = Duration::from_millis(3);
const HANDSHAKE: Duration = Duration::from_millis(12);

impl Group {
    fn index(&self, id: &str) -> Option<usize> {
        self.instances.iter().position(|row| row.id == id)
    }

    fn entry(&self, index: usize) -> String {
        let row = &self.instances[index];
        format!(
            "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"port-louis\",\"version\":\"v1\",\
             \"capacity\":2,\"state\":\"{}\",\"warmup-left-ms\":0,\"db-role\":\"{}\",\
             \"call-seq\":1,\"born\":{}}}",
            self.service,
            row.address,
            if row.is_draining { "draining" } else { "ready" },
            if row.leads { "primary" } else { "replica" },
            self.born + index as u64,
        )
    }

    /// The leader of the highest term.
    fn leader(&self) -> Option<usize> {
        (0..self.instances.len())
            .filter(|index| self.instances[*index].leads)
            .max_by_key(|index| self.instances[*index].term)
    }

    /// Number of commits that an instance has applied.
    fn applied(&self, index: usize) -> usize {
        let row = &self.instances[index];
        if row.leads {
            return row.log.len();
        }
        row.log.iter().take_while(|commit| commit.received.elapsed() >= REPLICA_LAG).count()
    }

    fn position_of(log: &[Commit]) -> (u64, u64) {
        log.last().map_or((1, 0), |commit| (commit.term, commit.number))
    }

    fn position(&self, index: usize) -> (u64, u64) {
        Self::position_of(&self.instances[index].log[..self.applied(index)])
    }

    fn commit(&mut self, index: usize, writes: Vec<(String, String, String)>) {
        let (term, is_late) = {
            let row = &self.instances[index];
            (row.term, row.superseded.is_some())
        };
        for (request, item, data) in writes {
            self.committed.insert(request.clone());
            if is_late {
                self.late_commits.push(request.clone());
            }
            let number = Self::position_of(&self.instances[index].log).1 + 1;
            let received = Instant::now();
            let commit = Commit { term, number, request, item, data, received };
            self.instances[index].log.push(commit.clone());
            for (other, row) in self.instances.iter_mut().enumerate() {
                if other != index && row.is_up && !row.leads && row.term == term {
                    row.log.push(commit.clone());
                }
            }
        }
    }

    /// Makes an instance a replica of the present leader, with the leader's log.
    fn follow(&mut self, index: usize) {
        let Some(leader) = self.leader().filter(|leader| *leader != index) else { return };
        let (term, log) = (self.instances[leader].term, self.instances[leader].log.clone());
        let row = &mut self.instances[index];
        row.leads = false;
        row.superseded = None;
        row.term = term;
        row.log = log;
    }

    fn promote(&mut self, index: usize) {
        if !self.instances[index].is_up || self.leader() == Some(index) {
            return;
        }
        let term = self.instances.iter().map(|row| row.term).max().unwrap_or(1) + 1;
        let now = Instant::now();
        for row in self.instances.iter_mut().filter(|row| row.leads) {
            row.superseded.get_or_insert(now);
        }
        self.instances[index].leads = true;
        self.instances[index].superseded = None;
        self.instances[index].term = term;
        for other in 0..self.instances.len() {
            if self.instances[other].is_up && !self.instances[other].leads {
                self.follow(other);
            }
        }
    }

    fn status(&self, index: usize) -> String {
        let row = &self.instances[index];
        let (term, number) = Self::position_of(&row.log);
        let role = if row.leads { "primary" } else { "replica" };
        format!("{role} {} {term}.{number} {} 0 0 1", row.term, row.term)
    }
}

/// The platform: the store, the promotion call and the instances of one service.
struct Platform {
    record: Arc<Record>,
    store: Arc<Store>,
    group: Arc<Mutex<Group>>,
    base: u8,
    promotion: Arc<PromotionCall>,
}

/// The promotion call, which can be cut off: opening packets then get no answer.
struct PromotionCall {
    listener: TcpListener,
    is_cut: AtomicBool,
    /// Connections that fill the queue of new connections while the call is cut off.
    fillers: Mutex<Vec<TcpStream>>,
}

impl PromotionCall {
    fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
        thread::sleep(ms(20));
        // SAFETY: changes the length of the queue of a listening socket.
        unsafe { listen(self.listener.as_raw_fd(), 0) };
        let address = self.listener.local_addr().expect("a listener has an address");
        for _ in 0..8 {
            match TcpStream::connect_timeout(&address, ms(100)) {
                Ok(stream) => lock(&self.fillers).push(stream),
                Err(_) => break,
            }
        }
    }

    fn heal(&self) {
        // SAFETY: changes the length of the queue of a listening socket.
        unsafe { listen(self.listener.as_raw_fd(), 128) };
        lock(&self.fillers).clear();
        self.is_cut.store(false, Ordering::SeqCst);
    }
}

impl Platform {
    fn start(record: Arc<Record>, base: u8, ids: &[&str]) -> Arc<Platform> {
        let store_address = address(base, 200, 7, 8783);
        let store = Store::start(store_address, Arc::clone(&record));
        let group = Group {
            service: "huvo11a".to_owned(),
            instances: Vec::new(),
            born: 1_780_000_000_000,
            runs: Vec::new(),
            committed: Default::default(),
            late_commits: Vec::new(),
            tokens: Vec::new(),
        };
        let listener =
            TcpListener::bind(address(base, 201, 7, 8783)).expect("the address is free");
        listener.set_nonblocking(true).expect("a listener can be non-blocking");
        let promotion = Arc::new(PromotionCall {
            listener,
            is_cut: AtomicBool::new(false),
            fillers: Mutex::default(),
        });
        let platform = Arc::new(Platform {
            record,
            store,
            group: Arc::new(Mutex::new(group)),
            base,
            promotion,
        });
        for id in ids {
            platform.add_instance(id);
        }
        lock(&platform.group).instances[0].leads = true;
        platform.put_entry(ids[0]);
        let serving = Arc::clone(&platform);
        thread::spawn(move || serving.serve_promotions());
        platform
    }

    fn configure(&self) {
        let route = |name: &str, kind: &str, timeout: u64, aim: u64, priority: u64, stale: u64| {
            format!(
                "{{\"name\":\"r-{name}\",\"host\":\"{name}\",\"prefix\":\"/\",\"kind\":\"{kind}\",\
                 \"timeout-ms\":{timeout},\"latency-goal-ms\":{aim},\"priority\":{priority},\
                 \"service\":\"huvo11a\",\"max-attempts\":2,\"max-staleness-ms\":{stale}}}"
            )
        };
        let routes = [
            route("lepu270", "primary", 800, 100, 0, 0),
            route("fiti832", "read_own_writes", 800, 200, 1, 2500),
            route("xapu221", "bounded_staleness", 1200, 600, 2, 1500),
        ];
        self.store.put(
            "op/config",
            &format!(
                "{{\"version\":7,\"routes\":[{}],\"services\":[{{\"name\":\"huvo11a\",\
                 \"health-path\":\"/health\",\"max-conns\":46,\"protocol\":\"h1\",\"tls\":false,\
                 \"sync-replicas\":0}}],\"limits\":{{\"tx-idle-ms\":3000}}}}",
                routes.join(",")
            ),
        );
    }

    /// Starts an instance as a replica and registers it.
    fn add_instance(self: &Arc<Self>, id: &str) {
        let mut group = lock(&self.group);
        let index = group.instances.len();
        let address = address(self.base, 64, index as u8 + 1, 8302);
        let listener = TcpListener::bind(address).expect("the instance's address is free");
        group.instances.push(Instance {
            id: id.to_owned(),
            address,
            is_up: true,
            is_draining: false,
            leads: false,
            term: 1,
            log: Vec::new(),
            superseded: None,
            connections: Vec::new(),
        });
        group.follow(index);
        drop(group);
        let platform = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut group = lock(&platform.group);
                if !group.instances[index].is_up {
                    break;
                }
                if let Ok(copy) = stream.try_clone() {
                    group.instances[index].connections.push(copy);
                }
                drop(group);
                let platform = Arc::clone(&platform);
                thread::spawn(move || Connection::new(platform, index).run(stream));
            }
        });
        self.put_entry(id);
    }

    fn put_entry(&self, id: &str) {
        let group = lock(&self.group);
        let Some(index) = group.index(id) else { return };
        let entry = group.entry(index);
        drop(group);
        self.store.put(&format!("servers/{id}"), &entry);
    }

    fn drain(&self, id: &str) {
        let mut group = lock(&self.group);
        let Some(index) = group.index(id) else { return };
        group.instances[index].is_draining = true;
        drop(group);
        self.put_entry(id);
        self.record.say(&format!("instance {id} has reported draining, and the store has accepted it"));
    }

    /// Ends an instance: its connections break, its port refuses, and its entry goes.
    fn end(&self, id: &str) {
        let mut group = lock(&self.group);
        let Some(index) = group.index(id) else { return };
        let row = &mut group.instances[index];
        row.is_up = false;
        row.leads = false;
        for connection in row.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        drop(group);
        self.store.remove(&format!("servers/{id}"));
    }

    fn serve_promotions(self: Arc<Self>) {
        loop {
            thread::sleep(ms(1));
            if self.promotion.is_cut.load(Ordering::SeqCst) {
                continue;
            }
            let Ok((stream, from)) = self.promotion.listener.accept() else { continue };
            let _ = stream.set_nonblocking(false);
            let platform = Arc::clone(&self);
            thread::spawn(move || {
                let Some(call) = read_call(&stream) else { return };
                let (status, body) = platform.handle_promotion(&call, from);
                let _ = reply(&stream, status, body);
            });
        }
    }

    fn handle_promotion(self: &Arc<Self>, call: &Call, from: SocketAddr) -> (u16, &'static str) {
        let header = |name: &str| call.headers.get(name).map_or("", String::as_str);
        let token = header("x-flamingorock-fencing-token").parse().unwrap_or(0);
        let body = Json::parse(&call.body);
        let id = body.get("id").text().to_owned();
        let mut group = lock(&self.group);
        let highest = group.tokens.iter().copied().max().unwrap_or(0);
        group.tokens.push(token);
        self.record.say(&format!(
            "platform: promote {id} with token {token} by {} (from {}){}",
            header("x-flamingorock-duty-holder"),
            from.ip(),
            if token < highest { format!(": LOWER than {highest}, which it has seen") } else { String::new() },
        ));
        let Some(index) = group.index(&id).filter(|index| group.instances[*index].is_up) else {
            return (409, "{}");
        };
        drop(group);
        let platform = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(PROMOTION);
            platform.take_over(index);
        });
        (200, "{}")
    }

    fn take_over(self: &Arc<Self>, index: usize) {
        let mut group = lock(&self.group);
        let id = group.instances[index].id.clone();
        if group.leader() == Some(index) || !group.instances[index].is_up {
            return;
        }
        group.promote(index);
        let term = group.instances[index].term;
        drop(group);
        self.record.say(&format!("instance {id} leads term {term}"));
        self.put_entry(&id);
        // The former leaders reach it, and follow it a second later.
        let platform = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(ms(1000));
            let mut group = lock(&platform.group);
            let late: Vec<usize> = (0..group.instances.len())
                .filter(|other| group.instances[*other].superseded.is_some())
                .collect();
            let mut ids = Vec::new();
            for other in late {
                group.follow(other);
                ids.push(group.instances[other].id.clone());
            }
            drop(group);
            for id in ids.iter().filter(|id| platform.is_up(id)) {
                platform.put_entry(id);
            }
        });
    }

    fn is_up(&self, id: &str) -> bool {
        let group = lock(&self.group);
        group.index(id).is_some_and(|index| group.instances[index].is_up)
    }
}

/// A connection to an instance.
struct Connection {
    platform: Arc<Platform>,
    index: usize,
    prepared: HashMap<String, String>,
    transaction: Option<Vec<(String, String, String)>>,
    has_failed: bool,
}

type Outcome = Result<Option<String>, &'static str>;

static SIGNATURES: AtomicU64 = AtomicU64::new(1);

impl Connection {
    fn new(platform: Arc<Platform>, index: usize) -> Self {
        Self { platform, index, prepared: HashMap::new(), transaction: None, has_failed: false }
    }

    fn run(mut self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut output) = stream.try_clone() else { return };
        let mut lines = BufReader::new(stream).lines();
        let Some(Ok(first)) = lines.next() else { return };
        let fields: Vec<String> = first.trim_end().split(' ').map(str::to_owned).collect();
        let (service, id) = {
            let group = lock(&self.platform.group);
            (group.service.clone(), group.instances[self.index].id.clone())
        };
        if fields.get(1) != Some(&service) || fields.get(3).is_some_and(|other| *other != id) {
            let _ = output.write_all(b"ERROR WRONGNODE another instance\r\n");
            return;
        }
        thread::sleep(HANDSHAKE);
        let (term, number) = lock(&self.platform.group).position(self.index);
        if output.write_all(format!("READY I {term}.{number}\r\n").as_bytes()).is_err() {
            return;
        }
        for line in lines.map_while(Result::ok) {
            let Some(rest) = line.trim_end().strip_prefix("QUERY ") else { return };
            let Some((request, text)) = rest.split_once(' ') else { return };
            let answer = self.answer(request, text);
            if output.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&mut self, request: &str, text: &str) -> String {
        let outcome = self.execute(request, text);
        let mut answer = String::new();
        match outcome {
            Ok(row) => {
                if let Some(row) = row {
                    let _ = write!(answer, "DATAROW {row}\r\n");
                }
                let signature = SIGNATURES.fetch_add(1, Ordering::Relaxed);
                let _ = write!(answer, "COMPLETE {}.{signature}\r\n", self.index);
            }
            Err(code) => {
                self.has_failed = self.transaction.is_some();
                let _ = write!(answer, "ERROR {code} refused\r\n");
            }
        }
        let state = match (&self.transaction, self.has_failed) {
            (Some(_), true) => "E",
            (Some(_), false) => "T",
            (None, _) => "I",
        };
        let (term, number) = lock(&self.platform.group).position(self.index);
        let _ = write!(answer, "READY {state} {term}.{number}\r\n");
        answer
    }

    fn execute(&mut self, request: &str, text: &str) -> Outcome {
        let (verb, rest) = text.split_once(' ').unwrap_or((text, ""));
        match verb {
            "MINPOS" => {
                let (position, text) = rest.split_once(' ').ok_or("MALFORMED")?;
                let (term, number) = position.split_once('.').ok_or("MALFORMED")?;
                let needed = (term.parse().unwrap_or(0), number.parse().unwrap_or(0));
                if lock(&self.platform.group).position(self.index) < needed {
                    return Err("LAGGING");
                }
                self.execute(request, text)
            }
            "BEGIN" => {
                if rest != "READ" && !lock(&self.platform.group).instances[self.index].leads {
                    return Err("READONLY");
                }
                self.transaction = Some(Vec::new());
                Ok(None)
            }
            "COMMIT" => {
                self.ran(request, text);
                let writes = self.transaction.take().ok_or("MALFORMED")?;
                let mut group = lock(&self.platform.group);
                if !writes.is_empty() && !group.instances[self.index].leads {
                    return Err("READONLY");
                }
                group.commit(self.index, writes);
                Ok(None)
            }
            "ROLLBACK" => {
                self.transaction = None;
                self.has_failed = false;
                Ok(None)
            }
            "READ" => self.read(request, rest),
            "WRITE" => self.write(request, rest),
            "PREPARE" => {
                let (name, shape) = rest.split_once(' ').unwrap_or((rest, ""));
                self.prepared.insert(name.to_owned(), shape.to_owned());
                Ok(None)
            }
            "EXECUTE" => {
                let (name, arguments) = rest.split_once(' ').unwrap_or((rest, ""));
                let shape = self.prepared.get(name).cloned().ok_or("NOSTMT")?;
                if shape.starts_with("WRITE") {
                    self.write(request, arguments)
                } else {
                    self.read(request, arguments)
                }
            }
            "RESET" => {
                self.prepared.clear();
                Ok(None)
            }
            "STATUS" => Ok(Some(lock(&self.platform.group).status(self.index))),
            "STEPDOWN" => {
                let mut group = lock(&self.platform.group);
                let row = &group.instances[self.index];
                if row.leads && row.term < rest.parse().unwrap_or(0) {
                    group.follow(self.index);
                }
                Ok(Some(group.status(self.index)))
            }
            _ => Ok(None),
        }
    }

    /// Notes that a client's statement runs here.
    fn ran(&self, request: &str, text: &str) {
        let mut group = lock(&self.platform.group);
        let instance = group.instances[self.index].id.clone();
        self.platform.record.line(&format!("instance {instance} runs {request} {text}"));
        group.runs.push(Run { request: request.to_owned(), instance, at: Instant::now() });
    }

    fn read(&self, request: &str, item: &str) -> Outcome {
        self.ran(request, &format!("READ {item}"));
        thread::sleep(WORK);
        let group = lock(&self.platform.group);
        let log = &group.instances[self.index].log[..group.applied(self.index)];
        let found = log.iter().rev().find(|commit| commit.item == item);
        Ok(Some(found.map_or("-".to_owned(), |commit| commit.data.clone())))
    }

    fn write(&mut self, request: &str, rest: &str) -> Outcome {
        let (item, data) = rest.split_once(' ').unwrap_or((rest, ""));
        thread::sleep(WORK);
        if !lock(&self.platform.group).instances[self.index].leads {
            return Err("READONLY");
        }
        self.ran(request, &format!("WRITE {item} {data}"));
        let write = (request.to_owned(), item.to_owned(), data.to_owned());
        match &mut self.transaction {
            Some(writes) => writes.push(write),
            None => lock(&self.platform.group).commit(self.index, vec![write]),
        }
        Ok(None)
    }
}

// ---------------------------------------------------------------------------------- proxies

fn address(base: u8, third: u8, fourth: u8, port: u16) -> SocketAddr {
    SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::new(127, base, third, fourth), port))
}

struct Proxy {
    name: String,
    front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
}

/// Bounds of the deployment that the settings of a process name.
struct Bounds {
    contact_ms: u64,
    drain_ms: u64,
    config_apply_ms: u64,
}

impl Proxy {
    fn new(folder: &Path, base: u8, number: u8, store: SocketAddr, bounds: &Bounds) -> Proxy {
        let ip = Ipv4Addr::new(127, base, 1, number);
        let name = format!("edge-port-louis-{number}");
        let promotion = address(base, 201, 7, 8783);
        let text = format!(
            "node-name={name}\nrole=proxy\nmachine-class=edge\nserves=edge\nip={ip}\n\
             zone=port-louis\nregion=maurice\nzones.port-louis=maurice\n\
             listen.frontend={ip}:8784\nlisten.ready={ip}:8785\nport-range=7440,7455\n\
             bootstrap=true\nin-fault-budget=false\nlimits.cpu-share=0.38\nlimits.cores=1\n\
             limits.memory-mb=390\nlimits.max-fds=6300\ndiscovery=platform\ningress=vip\n\
             heartbeat-ms=1200\ncontract-params.contact-ms={}\ncontract-params.drain-ms={}\n\
             contract-params.grace-s=6\ncontract-params.loss-slack-ms=200\n\
             contract-params.config-apply-ms={}\ncontract-params.require-fencing=false\n\
             contract-params.thaw-ms=300\nplatform.addr={store}\nplatform.form=kv\n\
             platform.writes-per-s=400\nplatform.reads-per-s=2000\nplatform.ttl-min-ms=1000\n\
             cloud-api.addr={promotion}\ncloud-api.duties=promote\ncloud-api.duties-per-s=50.0\n",
            bounds.contact_ms, bounds.drain_ms, bounds.config_apply_ms
        );
        let settings = folder.join(format!("{name}.conf"));
        fs::write(&settings, text).expect("the settings can be written");
        Proxy {
            log: folder.join(format!("{name}.log")),
            name,
            front: SocketAddr::new(ip.into(), 8784),
            ready: SocketAddr::new(ip.into(), 8785),
            settings,
            child: Mutex::new(None),
        }
    }

    /// Starts the process with the command of the deploy file.
    fn start(&self) {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log);
        let path = std::env::var("PATH").unwrap_or_default();
        let child = Command::new("target/release/flamingorockd")
            .args(["--pooled", "--metrics-port", "9464"])
            .env_clear()
            .env("PATH", path)
            .env("FLAMINGOROCK_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.map_or_else(|_| Stdio::null(), Stdio::from))
            .stderr(Stdio::inherit())
            .spawn();
        match child {
            Ok(child) => *lock(&self.child) = Some(child),
            Err(error) => {
                println!("target/release/flamingorockd cannot be started: {error}");
                std::process::exit(2);
            }
        }
    }

    fn signal(&self, signal: i32) {
        if let Some(child) = lock(&self.child).as_ref() {
            // SAFETY: sends a signal to a process that this one has started and not yet waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    fn end(&self) {
        self.signal(SIGCONT);
        self.signal(SIGKILL);
        if let Some(mut child) = lock(&self.child).take() {
            let _ = child.wait();
        }
    }

    fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect_timeout(&self.ready, ms(300)) else { return false };
        let _ = stream.set_read_timeout(Some(ms(500)));
        let _ = stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        let mut text = String::new();
        let _ = stream.read_to_string(&mut text);
        text.starts_with("HTTP/1.1 200")
    }
}

/// The proxies, which are ended however the script ends.
struct Fleet(Vec<Arc<Proxy>>);

impl Fleet {
    fn end(&self) {
        for proxy in &self.0 {
            proxy.end();
        }
    }

    /// Waits until every proxy is ready.
    fn wait_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(25);
        while Instant::now() < end {
            if self.0.iter().all(|proxy| proxy.is_ready()) {
                return true;
            }
            thread::sleep(ms(100));
        }
        false
    }
}

// ---------------------------------------------------------------------------------- clients

/// What a client was told about a request.
#[derive(Clone, Debug, PartialEq)]
enum Told {
    Complete,
    Error(String),
    Nothing,
}

struct Sent {
    request: String,
    proxy: String,
    text: String,
    at: Instant,
    told: Told,
}

struct Clients {
    sent: Mutex<Vec<Sent>>,
    is_over: AtomicBool,
    next: AtomicU64,
    record: Arc<Record>,
}

impl Clients {
    fn new(record: Arc<Record>) -> Arc<Clients> {
        Arc::new(Clients {
            sent: Mutex::default(),
            is_over: AtomicBool::new(false),
            next: AtomicU64::new(1),
            record,
        })
    }

    /// Starts a client that works, waits for the answer, and pauses. After a close it connects to
    /// the next proxy.
    fn start(
        self: &Arc<Self>,
        proxies: &[Arc<Proxy>],
        first: usize,
        database: &'static str,
        habit: Habit,
        pause: Duration,
    ) {
        let (clients, proxies) = (Arc::clone(self), proxies.to_vec());
        thread::spawn(move || {
            let mut turn = first;
            while !clients.is_over.load(Ordering::SeqCst) {
                let proxy = &proxies[turn % proxies.len()];
                turn += 1;
                let _ = clients.session(proxy, database, habit, pause);
                thread::sleep(ms(50));
            }
        });
    }

    /// One session; `None` once it is closed or an operation has ended outside the state `I`.
    fn session(
        &self,
        proxy: &Proxy,
        database: &str,
        habit: Habit,
        pause: Duration,
    ) -> Option<()> {
        let stream = TcpStream::connect_timeout(&proxy.front, ms(1000)).ok()?;
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(ms(2000)));
        let mut session = ClientSession {
            clients: self,
            proxy: proxy.name.clone(),
            output: stream.try_clone().ok()?,
            input: BufReader::new(stream),
        };
        session.output.write_all(format!("STARTUP {database} u1\r\n").as_bytes()).ok()?;
        session.line().filter(|line| line.starts_with("READY"))?;
        while !self.is_over.load(Ordering::SeqCst) {
            let item = self.next.load(Ordering::SeqCst) % 50;
            match habit {
                Habit::Read => session.run(&format!("READ w{item}")).and_then(is_idle)?,
                Habit::Write => session.run(&format!("WRITE w{item} d{item}")).and_then(is_idle)?,
                Habit::Transact => session.transact(item, pause)?,
            }
            thread::sleep(pause);
        }
        let _ = session.output.write_all(b"TERMINATE\r\n");
        Some(())
    }

    fn stop(&self) {
        self.is_over.store(true, Ordering::SeqCst);
    }

    fn summary(&self) -> String {
        let mut counts: BTreeMap<String, u64> = BTreeMap::new();
        for sent in lock(&self.sent).iter() {
            *counts.entry(format!("{:?}", sent.told)).or_default() += 1;
        }
        format!("{counts:?}")
    }
}

/// What a client does in its session.
#[derive(Clone, Copy)]
enum Habit {
    Read,
    Write,
    /// Transactions of three writes, with pauses between the statements.
    Transact,
}

/// A client's session with a proxy.
struct ClientSession<'a> {
    clients: &'a Clients,
    proxy: String,
    output: TcpStream,
    input: BufReader<TcpStream>,
}

/// Nothing unless the session is outside a transaction.
fn is_idle(state: char) -> Option<()> {
    (state == 'I').then_some(())
}

impl ClientSession<'_> {
    fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        self.input.read_line(&mut line).ok().filter(|count| *count > 0)?;
        line.ends_with('\n').then(|| line.trim_end().to_owned())
    }

    /// Sends a statement and waits for its answer. Returns the state of the session, or `None` if
    /// the answer is missing.
    fn run(&mut self, text: &str) -> Option<char> {
        let number = self.clients.next.fetch_add(1, Ordering::SeqCst);
        let request = format!("{number:016x}");
        let at = Instant::now();
        let record = &self.clients.record;
        record.line(&format!("client sends {request} {text} to {}", self.proxy));
        let mut told = Told::Nothing;
        let mut state = None;
        if self.output.write_all(format!("QUERY {request} {text}\r\n").as_bytes()).is_ok() {
            while let Some(line) = self.line() {
                if line.starts_with("COMPLETE") {
                    told = Told::Complete;
                } else if let Some(rest) = line.strip_prefix("ERROR ") {
                    told = Told::Error(rest.split(' ').next().unwrap_or_default().to_owned());
                } else if let Some(rest) = line.strip_prefix("READY ") {
                    state = rest.chars().next();
                    break;
                }
            }
        }
        if state.is_none() {
            told = Told::Nothing;
        }
        let clients = self.clients;
        clients.record.line(&format!("client has for {request}: {told:?}"));
        let (proxy, text) = (self.proxy.clone(), text.to_owned());
        lock(&clients.sent).push(Sent { request, proxy, text, at, told });
        state
    }

    /// A transaction of three writes. After an error the client rolls back.
    fn transact(&mut self, item: u64, pause: Duration) -> Option<()> {
        let mut state = self.run("BEGIN")?;
        for _ in 0..3 {
            if state == 'T' {
                thread::sleep(pause);
                state = self.run(&format!("WRITE w{item} d{item}"))?;
            }
        }
        let end = if state == 'T' { "COMMIT" } else { "ROLLBACK" };
        match state {
            'I' => None,
            _ => self.run(end).and_then(is_idle),
        }
    }
}

include!("cases.rs");
