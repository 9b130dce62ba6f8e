//! Stand-ins of the Jardinet platform: its store, its promotion call, and a replica set whose
//! instances speak the line protocol.

mod group;
mod session;
mod store;
mod store_view;

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

use crate::http::{self, Reply, Request};
use crate::server::{Server, lock};
use group::Group;
pub use group::Write;
use store::Store;
pub use store::StoreFault;
pub use store_view::StoreView;

/// Name of the replica set.
const REPLICA_SET: &str = "ledger-set";
/// Time from a promotion call until it takes effect.
const PROMOTION: Duration = Duration::from_millis(300);
/// Databases and their kinds of read.
const ROUTES: [(&str, &str); 3] =
    [("strict", "primary"), ("stale", "bounded_staleness"), ("own", "read_own_writes")];

/// A running platform with one replica set of three instances.
pub struct Platform {
    group: Arc<Mutex<Group>>,
    store: Arc<Store>,
    store_server: Server,
    promotion_server: Server,
    instances: Vec<Option<Server>>,
    addresses: Vec<SocketAddr>,
}

impl Platform {
    /// Starts the platform on ports that the system chooses.
    ///
    /// # Errors
    ///
    /// A port cannot be opened.
    pub fn start() -> io::Result<Self> {
        let group = Arc::new(Mutex::new(Group::new()));
        let store = Arc::new(Store::default());
        let serving = Arc::clone(&store);
        let store_server = Server::spawn(bind(0)?, move |stream| {
            http::serve(stream, |call| serving.handle(call))
        })?;
        let promoting = (Arc::clone(&group), Arc::clone(&store));
        let promotion_server = Server::spawn(bind(0)?, move |stream| {
            http::serve(stream, |call| promote(&promoting.0, &promoting.1, call));
        })?;
        let mut platform = Self {
            group,
            store,
            store_server,
            promotion_server,
            instances: Vec::new(),
            addresses: Vec::new(),
        };
        for index in 0..Group::INSTANCES {
            let server = platform.serve_instance(index, 0)?;
            platform.addresses.push(server.address());
            platform.instances.push(Some(server));
        }
        platform.store.put_json("op/config", &configuration(1), 0);
        platform.write_entries();
        Ok(platform)
    }

    fn serve_instance(&self, index: usize, port: u16) -> io::Result<Server> {
        let group = Arc::clone(&self.group);
        Server::spawn(bind(port)?, move |stream| session::serve(stream, index, &group))
    }

    fn write_entries(&self) {
        let leader = lock(&self.group).leader();
        for (index, address) in self.addresses.iter().enumerate() {
            write_entry(&self.store, index, *address, leader);
        }
    }

    /// Address of an instance.
    #[must_use]
    pub fn instance_address(&self, index: usize) -> SocketAddr {
        self.addresses[index]
    }

    /// Lets the entry of an instance name another address, such as that of a relay before it.
    pub fn publish_at(&self, index: usize, address: SocketAddr) {
        write_entry(&self.store, index, address, self.leader());
    }

    /// Address of the store.
    #[must_use]
    pub fn store_address(&self) -> SocketAddr {
        self.store_server.address()
    }

    /// Serves the store at one more address, with the values that `translate` replaces. It gets the
    /// key and the value of each item; `None` leaves the value as it is.
    ///
    /// # Errors
    ///
    /// A port cannot be opened.
    pub fn serve_store_view<T>(&self, translate: T) -> io::Result<StoreView>
    where
        T: Fn(&str, &[u8]) -> Option<Vec<u8>> + Send + Sync + 'static,
    {
        StoreView::start(Arc::clone(&self.store), bind(0)?, translate)
    }

    /// Address for promotion calls.
    #[must_use]
    pub fn promotion_address(&self) -> SocketAddr {
        self.promotion_server.address()
    }

    /// Lets the store misbehave until the next call of this function.
    pub fn set_store_fault(&self, fault: StoreFault) {
        self.store.set_fault(fault);
    }

    /// Ends every lease, as if it had been revoked.
    pub fn revoke_leases(&self) {
        self.store.revoke_leases();
    }

    /// Number of the instance that leads.
    #[must_use]
    pub fn leader(&self) -> usize {
        lock(&self.group).leader()
    }

    /// Kills an instance: its connections break and its port is closed.
    pub fn kill(&mut self, index: usize) {
        lock(&self.group).set_up(index, false);
        self.instances[index] = None;
    }

    /// Starts an instance again at its address.
    ///
    /// # Errors
    ///
    /// The port cannot be opened.
    pub fn restart(&mut self, index: usize) -> io::Result<()> {
        if self.instances[index].is_none() {
            let server = self.serve_instance(index, self.addresses[index].port())?;
            self.instances[index] = Some(server);
            lock(&self.group).set_up(index, true);
        }
        Ok(())
    }

    /// Writes in the log of the instance that leads, the oldest first.
    #[must_use]
    pub fn writes(&self) -> Vec<Write> {
        lock(&self.group).writes()
    }

    /// Fences of the promotion calls so far, in the order of their arrival.
    #[must_use]
    pub fn fences(&self) -> Vec<u64> {
        lock(&self.group).fences()
    }

    /// Writes that a promotion has rolled back: the promoted instance had not received them.
    #[must_use]
    pub fn rolled_back_writes(&self) -> Vec<Write> {
        lock(&self.group).rolled_back_writes()
    }

    /// Writes that were committed at an instance after another one had taken its place.
    #[must_use]
    pub fn superseded_writes(&self) -> Vec<Write> {
        lock(&self.group).superseded_writes()
    }
}

fn bind(port: u16) -> io::Result<TcpListener> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, port))
}

fn promote(group: &Arc<Mutex<Group>>, store: &Arc<Store>, request: &Request) -> Reply {
    let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
    let fence = request.fence.unwrap_or_default();
    let Some(index) = body["id"].as_str().and_then(instance_index) else {
        return Reply::text(400, "no such instance");
    };
    if !lock(group).accept_promotion(index, fence) {
        return Reply::text(409, "the instance does not run");
    }
    let (group, store) = (Arc::clone(group), Arc::clone(store));
    std::thread::spawn(move || {
        std::thread::sleep(PROMOTION);
        lock(&group).promote(index);
        store.rewrite_roles(index);
    });
    Reply::json(&json!({}))
}

fn instance_index(id: &str) -> Option<usize> {
    id.strip_prefix("i-")?.parse().ok()
}

fn write_entry(store: &Store, index: usize, address: SocketAddr, leader: usize) {
    let entry = json!({
        "service": REPLICA_SET,
        "addr": address.to_string(),
        "zone": "port-louis",
        "version": "v1",
        "capacity": 4,
        "state": "ready",
        "warmup-left-ms": 0,
        "db-role": if index == leader { "primary" } else { "replica" },
        "call-seq": 1,
        "born": 1,
    });
    store.put_json(&format!("servers/i-{index}"), &entry, 0);
}

fn configuration(version: u64) -> Value {
    let routes: Vec<Value> = ROUTES
        .iter()
        .map(|(name, kind)| {
            json!({
                "name": format!("r-{name}"), "host": name, "prefix": "/", "kind": kind,
                "timeout-ms": 2000, "latency-goal-ms": 500, "priority": 1,
                "service": REPLICA_SET, "max-staleness-ms": 1000,
            })
        })
        .collect();
    json!({
        "version": version,
        "routes": routes,
        "services": [{ "name": REPLICA_SET, "max-conns": 32, "sync-replicas": 0 }],
        "limits": { "tx-idle-ms": 3000 },
    })
}

fn encode(value: &Value) -> String {
    STANDARD.encode(value.to_string())
}
