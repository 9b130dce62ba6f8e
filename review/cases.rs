// The scripts of the review. Included at the end of `stand_ins.rs`.

struct Case {
    record: Arc<Record>,
    platform: Arc<Platform>,
    fleet: Arc<Fleet>,
    clients: Arc<Clients>,
    has_trouble: bool,
    folder: PathBuf,
}

const SMALL: Bounds = Bounds { contact_ms: 4000, drain_ms: 7000, config_apply_ms: 3000 };
const GROWN: Bounds = Bounds { contact_ms: 5000, drain_ms: 10_000, config_apply_ms: 5000 };

/// Longest time that a script takes before it is given up.
const LIMIT: Duration = Duration::from_secs(112);

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let (Some(name), Some(folder)) = (words.get(1), words.get(2)) else {
        println!("usage: stand_ins superseded|silent FOLDER");
        std::process::exit(2);
    };
    let case = Case::start(name, Path::new(folder));
    let (fleet, temporary) = (Arc::clone(&case.fleet), case.folder.clone());
    thread::spawn(move || {
        thread::sleep(LIMIT);
        println!("the script takes too long");
        fleet.end();
        let _ = fs::remove_dir_all(temporary);
        std::process::exit(2);
    });
    let result = match case.fleet.wait_ready() {
        false => Err("the proxies do not become ready".to_owned()),
        true => match name.as_str() {
            "superseded" => case.superseded(),
            "silent" => case.silent(),
            _ => Err("no such script".to_owned()),
        },
    };
    case.clients.stop();
    case.fleet.end();
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = fs::remove_dir_all(&case.folder);
    } else {
        println!("logs: {}", case.folder.display());
    }
    case.record.say(&format!("clients were told: {}", case.clients.summary()));
    let code = match result {
        Ok(broken) if broken.is_empty() => {
            case.record.say("the rule held");
            0
        }
        Ok(broken) => {
            for line in broken {
                case.record.say(&format!("BROKEN: {line}"));
            }
            1
        }
        Err(reason) => {
            case.record.say(&format!("the case could not run: {reason}"));
            2
        }
    };
    std::process::exit(code);
}

impl Case {
    fn start(name: &str, folder: &Path) -> Case {
        let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
        let record = Arc::new(Record { start: Instant::now(), file: Mutex::new(file) });
        let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        // Each run has loopback addresses of its own.
        let base = 16 + (std::process::id() % 200) as u8;
        let temporary = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
        fs::create_dir_all(&temporary).expect("a temporary folder");
        let platform = Platform::start(Arc::clone(&record), base, &["i-5a", "i-7b", "i-9c"]);
        platform.configure();
        let is_grown = name == "silent";
        let store = address(base, 200, 7, 8783);
        let (count, bounds) = if is_grown { (37, GROWN) } else { (5, SMALL) };
        let proxies = (1..=count)
            .map(|number| Arc::new(Proxy::new(&temporary, base, number, store, &bounds)))
            .collect();
        let fleet = Arc::new(Fleet(proxies));
        for proxy in &fleet.0 {
            proxy.start();
        }
        let clients = Clients::new(Arc::clone(&record));
        record.say(&format!("trouble: {has_trouble}; {count} proxies"));
        Case { record, platform, fleet, clients, has_trouble, folder: temporary }
    }

    /// Starts some clients at each of the first proxies.
    fn start_clients(&self, proxies: usize) {
        let fleet = &self.fleet.0;
        for first in 0..proxies {
            self.clients.start(fleet, first, "lepu270", Habit::Write, ms(60));
            self.clients.start(fleet, first, "lepu270", Habit::Transact, ms(200));
            self.clients.start(fleet, first, "fiti832", Habit::Read, ms(60));
        }
    }

    fn wait_until(&self, limit: Duration, condition: impl Fn() -> bool) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if condition() {
                return true;
            }
            thread::sleep(ms(2));
        }
        false
    }

    fn promotion_writes(&self) -> usize {
        lock(&self.platform.store.promotions).len()
    }

    /// What breaks ONE: a fencing token lower than one that the platform has seen, and acknowledged
    /// writes that were committed at a primary after a promotion had taken effect.
    fn broken_one(&self) -> Vec<String> {
        let group = lock(&self.platform.group);
        let mut broken = Vec::new();
        let mut highest = 0;
        for token in &group.tokens {
            if *token < highest {
                broken.push(format!(
                    "ONE: the platform was sent token {token} after {highest} (all: {:?})",
                    group.tokens
                ));
            }
            highest = highest.max(*token);
        }
        let sent = lock(&self.clients.sent);
        let acknowledged =
            |request: &&String| sent.iter().any(|s| s.request == **request && s.told == Told::Complete);
        let late = group.late_commits.iter().filter(acknowledged).count();
        if late > 0 {
            broken.push(format!(
                "ONE: {late} writes were committed at the old primary after a promotion had taken \
                 effect, and acknowledged"
            ));
        }
        let kept: std::collections::HashSet<&String> = group
            .leader()
            .map(|leader| group.instances[leader].log.iter().map(|c| &c.request).collect())
            .unwrap_or_default();
        let lost = sent
            .iter()
            .filter(|s| s.text.starts_with("WRITE") && s.told == Told::Complete)
            .filter(|s| group.committed.contains(&s.request))
            .filter(|s| !kept.contains(&s.request))
            .count();
        self.record.say(&format!("acknowledged writes that the last primary lacks: {lost}"));
        broken
    }

    /// The primary is replaced as planned while the promotion call is cut off for five seconds.
    fn superseded(&self) -> Result<Vec<String>, String> {
        self.start_clients(5);
        thread::sleep(ms(4000));
        // Planned work: two instances are replaced one after the other. The new ones start first.
        self.platform.add_instance("i-2f");
        self.platform.add_instance("i-3d");
        thread::sleep(ms(1500));
        if self.has_trouble {
            self.platform.promotion.cut();
            self.record.say("the promotion call is cut off");
        }
        thread::sleep(ms(300));
        let before = self.promotion_writes();
        let drained = Instant::now();
        self.platform.drain("i-5a");
        if !self.wait_until(ms(3000), || self.promotion_writes() > before) {
            return Err("no proxy has claimed the failover".to_owned());
        }
        if self.has_trouble {
            thread::sleep(ms(4600).saturating_sub(drained.elapsed()));
            self.platform.promotion.heal();
            self.record.say("the promotion call answers again");
        }
        thread::sleep(ms(4700).saturating_sub(drained.elapsed()));
        self.platform.drain("i-9c");
        thread::sleep(ms(9000).saturating_sub(drained.elapsed()));
        self.platform.end("i-5a");
        thread::sleep(ms(14_000).saturating_sub(drained.elapsed()));
        self.platform.end("i-9c");
        thread::sleep(ms(17_000).saturating_sub(drained.elapsed()));
        Ok(self.broken_one())
    }

    /// The store is silent for 2.3 s, and a replica is replaced as planned some seconds later.
    fn silent(&self) -> Result<Vec<String>, String> {
        let bounds = GROWN;
        for first in 0..self.fleet.0.len() {
            self.clients.start(&self.fleet.0, first, "xapu221", Habit::Read, ms(150));
        }
        thread::sleep(ms(3000));
        // Planned work: the new instance starts first.
        self.platform.add_instance("i-3d");
        thread::sleep(ms(300));
        let store = &self.platform.store;
        if self.has_trouble {
            store.is_silent.store(true, Ordering::SeqCst);
            self.record.say("the store is silent");
        }
        thread::sleep(ms(2300));
        if self.has_trouble {
            store.is_silent.store(false, Ordering::SeqCst);
            self.record.say("the store answers again");
        }
        // The store is stable and all machines are in touch again.
        thread::sleep(ms(bounds.contact_ms + 400));
        self.platform.drain("i-9c");
        let drained = Instant::now();
        thread::sleep(ms(bounds.drain_ms + 6000));
        let group = lock(&self.platform.group);
        let late: Vec<&Run> = group
            .runs
            .iter()
            .filter(|run| run.instance == "i-9c")
            .filter(|run| run.at > drained + ms(bounds.drain_ms))
            .collect();
        let sent = lock(&self.clients.sent);
        let mut senders: BTreeMap<String, u64> = BTreeMap::new();
        for run in &late {
            if let Some(sent) = sent.iter().find(|sent| sent.request == run.request) {
                // The client had sent it after the bound as well.
                if sent.at > drained + ms(bounds.drain_ms) {
                    *senders.entry(sent.proxy.clone()).or_default() += 1;
                }
            }
        }
        let after = |run: &&Run| run.instance == "i-9c" && run.at > drained + ms(3000);
        self.record.say(&format!(
            "requests at i-9c later than 3 s after it was draining: {}",
            group.runs.iter().filter(after).count()
        ));
        if senders.is_empty() {
            return Ok(Vec::new());
        }
        let count: u64 = senders.values().sum();
        let proxies: Vec<&String> = senders.keys().collect();
        let last = late.iter().map(|run| run.at.duration_since(drained).as_secs_f64()).fold(0.0, f64::max);
        Ok(vec![format!(
            "DRAIN: {count} requests have run at i-9c later than {} ms after the store accepted that \
             it is draining, the last {last:.1} s after; sent by {proxies:?}",
            bounds.drain_ms
        )])
    }
}
