//! Stand-ins in this process and real proxy processes.

mod ports;
mod proxy;
mod services;

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use flamingorock_platform::{ConsulStore, KeyValueStore, SwapOutcome};
use flamingorock_standin::{Database, DatabaseConfig, HostList, Store};
use tempfile::TempDir;

use crate::arguments::Arguments;
use crate::bench_error::BenchError;
use crate::interrupt::wait_for;
use crate::load::{Session, SessionOptions};
use crate::statement::Statement;

pub(crate) use proxy::Proxy;
pub(crate) use services::DATABASE;

/// Limit of each wait for a state of the fleet.
const WAIT_LIMIT: Duration = Duration::from_secs(30);
/// Connections that an instance accepts; the slots of the proxy bound what runs at a time.
const INSTANCE_CONNECTIONS: usize = 4_096;

/// Stand-ins and two proxies. Everything ends when it is dropped.
pub(crate) struct Fleet {
    pub(crate) proxies: Vec<Proxy>,
    instances: Vec<Database>,
    store: Store,
    _host_list: HostList,
    _folder: TempDir,
}

impl Fleet {
    /// Starts one database of three instances and two proxies, and waits until the database is
    /// served through both.
    pub(crate) fn start(arguments: &Arguments) -> Result<Self, BenchError> {
        let local = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let store = Store::start(local).map_err(BenchError::io("start the store"))?;
        let host_list = HostList::start(local).map_err(BenchError::io("start the host list"))?;
        let config = DatabaseConfig {
            slots: INSTANCE_CONNECTIONS,
            connections: INSTANCE_CONNECTIONS,
            ..DatabaseConfig::default()
        };
        let start = |number| {
            let address = SocketAddr::from((Ipv4Addr::new(127, 0, 0, number), 0));
            Database::start(address, &config).map_err(BenchError::io("start an instance"))
        };
        let instances: Vec<_> = (1..=3).map(start).collect::<Result<_, _>>()?;
        let folder = TempDir::new().map_err(BenchError::io("create a folder"))?;
        let urls = (store.address(), host_list.address());
        let proxies = proxy::start_all(2, &arguments.daemon, urls, folder.path())?;
        let fleet = Self { proxies, instances, store, _host_list: host_list, _folder: folder };
        fleet.apply(&arguments.durability)?;
        for proxy in &fleet.proxies {
            fleet.wait_until_served(proxy)?;
        }
        fleet.create_tables()?;
        Ok(fleet)
    }

    /// Index of the proxy that owns the database.
    pub(crate) fn owner(&self) -> Result<usize, BenchError> {
        wait_for("an owner of the database", WAIT_LIMIT, || {
            let owns = |proxy: &Proxy| !proxy.status()["databases"][0]["owned"].is_null();
            self.proxies.iter().position(owns).ok_or_else(|| "no proxy owns it".to_owned())
        })
    }

    /// Address of the primary instance.
    pub(crate) fn primary(&self) -> Result<SocketAddr, BenchError> {
        let owner = &self.proxies[self.owner()?];
        wait_for("a primary", WAIT_LIMIT, || {
            let status = owner.status();
            let name = status["databases"][0]["owned"]["primary"].as_str().unwrap_or_default();
            let index = services::INSTANCES.iter().position(|it| *it == name);
            index.map(|index| self.instances[index].address()).ok_or_else(|| status.to_string())
        })
    }

    fn apply(&self, durability: &str) -> Result<(), BenchError> {
        let addresses: Vec<_> = self.instances.iter().map(Database::address).collect();
        let value = serde_json::json!({
            "version": 1,
            "apply_id": "bench-1",
            "applied_by": "bench",
            "applied_at_unix_s": 0,
            "text": services::text(&addresses, durability),
        });
        let store = ConsulStore::new(&format!("http://{}", self.store.address()));
        let deadline = Instant::now() + WAIT_LIMIT;
        match store.compare_and_swap(
            "flamingorock/config",
            0,
            value.to_string().as_bytes(),
            deadline,
        ) {
            Ok(SwapOutcome::Swapped) => Ok(()),
            other => {
                let found = format!("{other:?}");
                Err(BenchError::Unexpected { what: "the write of the configuration", found })
            }
        }
    }

    fn wait_until_served(&self, proxy: &Proxy) -> Result<(), BenchError> {
        wait_for("service through a proxy", WAIT_LIMIT, || {
            let attempt = Session::open(proxy.callers, SessionOptions::default());
            let run = attempt.and_then(|mut session| session.run_text("SELECT 1"));
            run.map_err(|error| error.to_string())
        })
    }

    fn create_tables(&self) -> Result<(), BenchError> {
        let mut session = Session::open(self.proxies[0].callers, SessionOptions::default())?;
        Statement::SETUP.iter().try_for_each(|text| session.run_text(text))
    }
}
