//! A fleet for end-to-end tests: stand-ins in the test process and real proxy processes.

mod ledger;
mod proxy;

use std::fmt::{Display, Write as _};
use std::io::{Read, Write as _};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use flamingorock_platform::{ConsulStore, KeyValueStore, SwapOutcome};
use flamingorock_standin::{Database, DatabaseConfig, HostList, Store};

pub use flamingorock_standin::free_port;
pub use ledger::{Ledger, row_count};
pub use proxy::{ADMIN_KEY, Proxy};

/// Limit of each wait. It matters only for failing tests, because a wait ends as soon as its
/// condition holds.
pub const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// Name of the database of a fleet.
pub const DATABASE: &str = "ledger-1";

/// Statement that creates the table of the tests. Without a primary key, a write that ran twice
/// shows.
pub const TABLE: &str = "CREATE TABLE payments (id INT, amount INT)";

/// Retries until an attempt returns a value. At the limit, panics with the error of the last
/// attempt.
pub fn wait_for<T>(what: &str, mut attempt: impl FnMut() -> Result<T, String>) -> T {
    let limit = Instant::now() + WAIT_LIMIT;
    loop {
        match attempt() {
            Ok(value) => return value,
            Err(reason) if Instant::now() > limit => panic!("waited for {what}: {reason}"),
            Err(_) => std::thread::sleep(Duration::from_millis(10)),
        }
    }
}

/// Sends an HTTP request. Returns status and body; the status is 0 if there is no response.
pub fn http(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &impl Display,
) -> (u16, String) {
    let body = body.to_string();
    let exchange = || {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(WAIT_LIMIT))?;
        let length = body.len();
        write!(
            stream,
            "{method} {path} HTTP/1.1\r\nHost: test\r\nConnection: close\r\n{headers}\
             Content-Length: {length}\r\n\r\n{body}"
        )?;
        let mut response = String::new();
        stream.read_to_string(&mut response)?;
        Ok::<_, std::io::Error>(response)
    };
    let response = exchange().unwrap_or_default();
    let status = response.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    let body = response.split_once("\r\n\r\n").map(|(_, body)| body.to_owned());
    (status, body.unwrap_or_default())
}

/// Stand-ins and proxies of one test. Dropping it stops all of them.
pub struct Fleet {
    pub proxies: Vec<Proxy>,
    pub instances: Vec<Option<Database>>,
    pub store: Store,
    pub host_list: HostList,
}

impl Fleet {
    /// Starts three instances of one database and `proxy_count` proxies with one traffic thread
    /// each, and waits until each proxy serves the database.
    pub fn start(proxy_count: u16) -> Self {
        Self::start_with(proxy_count, 1)
    }

    /// Like `start`, with the given number of traffic threads for each proxy.
    pub fn start_with(proxy_count: u16, threads: u8) -> Self {
        let local = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let store = Store::start(local).expect("a free port");
        let host_list = HostList::start(local).expect("a free port");
        // The proxies match instances with the host list by IP address, so each needs its own.
        let start = |number| {
            let address = SocketAddr::from((Ipv4Addr::new(127, 0, 0, number), 0));
            Some(Database::start(address, &DatabaseConfig::default()).expect("ports"))
        };
        let instances: Vec<_> = (1..=3).map(start).collect();
        let proxies = proxy::start_all(proxy_count, threads, &store, &host_list);
        let fleet = Self { proxies, instances, store, host_list };
        fleet.apply(1);
        for proxy in &fleet.proxies {
            fleet.wait_until_served(proxy);
        }
        fleet
    }

    /// Writes the configuration to the key-value service under the given version.
    pub fn apply(&self, version: u64) {
        let value = serde_json::json!({
            "version": version,
            "apply_id": format!("test-{version}"),
            "applied_by": "test",
            "applied_at_unix_s": 0,
            "text": self.services(),
        });
        let store = ConsulStore::new(&format!("http://{}", self.store.address()));
        let deadline = Instant::now() + WAIT_LIMIT;
        let key = "flamingorock/config";
        let index = store.get(key, deadline).expect("the store responds").index;
        let swap = store.compare_and_swap(key, index, value.to_string().as_bytes(), deadline);
        assert!(matches!(swap, Ok(SwapOutcome::Swapped)), "the configuration is written: {swap:?}");
    }

    /// Makes the host list show the host of an instance as leaving.
    pub fn mark_leaving(&self, instance: usize) {
        let address = self.instances[instance].as_ref().expect("started").address().ip();
        let body = serde_json::json!([{
            "Node": "backend",
            "Address": address.to_string(),
            "Datacenter": "port-louis",
            "Meta": {"state": "leaving"},
        }]);
        let (status, _) = http(self.host_list.address(), "PUT", "/standin/hosts", "", &body);
        assert_eq!(status, 200);
    }

    /// Returns the text of the service file.
    pub fn services(&self) -> String {
        let mut text = String::from(
            "[service ledger-commun]\ndurability = replica\nmax_staleness_ms = 0\n\
             ranks = urgent, normal\ndefault_rank = normal\n\
             [rank ledger-commun/urgent]\ntarget_latency_ms = 250\ntarget_percent = 99.9\n\
             floor_percent = 20\nworth = 100\ndeadline_ms = 5000\n\
             [rank ledger-commun/normal]\ntarget_latency_ms = 1000\ntarget_percent = 99\n\
             floor_percent = 20\nworth = 10\ndeadline_ms = 10000\n",
        );
        let _ = writeln!(text, "[database {DATABASE}]\nservice = ledger-commun");
        for (instance, name) in self.instances.iter().zip(["a", "b", "c"]) {
            let address = instance.as_ref().expect("started").address();
            let _ = writeln!(
                text,
                "[instance {DATABASE}/{name}]\naddress = {address}\ndata_centre = port-louis\n\
                 slots = 5\nconnections = 50"
            );
        }
        text
    }

    /// Injects faults into the key-value service; `query` is that of the fault URL.
    pub fn set_store_fault(&self, query: &str) {
        let path = format!("/standin/fault?{query}");
        assert_eq!(http(self.store.address(), "PUT", &path, "", &"").0, 200, "{query}");
    }

    /// Runs a query on the control port of an instance, which injected faults do not affect.
    pub fn control_query(&self, instance: usize, query: &str) -> Vec<postgres::SimpleQueryRow> {
        let address = self.instances[instance].as_ref().expect("started").control_address();
        let url = format!("host={} port={} user=test dbname=test", address.ip(), address.port());
        let mut client = postgres::Client::connect(&url, postgres::NoTls).expect("control port");
        let messages = client.simple_query(query).expect("a response").into_iter();
        let rows = messages.filter_map(|message| match message {
            postgres::SimpleQueryMessage::Row(row) => Some(row),
            _ => None,
        });
        rows.collect()
    }

    /// Waits until a statement through a proxy succeeds.
    pub fn wait_until_served(&self, proxy: &Proxy) {
        wait_for(&format!("service through host {}", proxy.id), || {
            let mut client = proxy.try_connect(DATABASE).map_err(|error| format!("{error:?}"))?;
            client.simple_query("SELECT 1").map(drop).map_err(|error| format!("{error:?}"))
        });
    }

    /// Waits until a proxy's status page shows that it owns the database, and returns its index.
    pub fn owner(&self) -> usize {
        wait_for("an owner", || {
            let is_owner = |proxy: &Proxy| {
                let status = proxy.admin("GET", "/admin/status", "").1;
                let status: serde_json::Value = serde_json::from_str(&status).unwrap_or_default();
                !status["databases"][0]["owned"].is_null()
            };
            self.proxies.iter().position(is_owner).ok_or_else(|| "none".to_owned())
        })
    }

    /// Waits until the owner's status page shows a primary, and returns the instance's index.
    pub fn primary(&self) -> usize {
        wait_for("a primary", || {
            let status = self.proxies[self.owner()].admin("GET", "/admin/status", "").1;
            let status: serde_json::Value = serde_json::from_str(&status).unwrap_or_default();
            let name = status["databases"][0]["owned"]["primary"].as_str().unwrap_or_default();
            ["a", "b", "c"].iter().position(|it| *it == name).ok_or_else(|| status.to_string())
        })
    }
}
