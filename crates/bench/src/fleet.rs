//! Stand-in services in this process and real proxy processes.

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

/// Timeout of each wait for the fleet to reach a state.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Connections that an instance accepts. It is high enough that only the slots of the proxy limit
/// how many statements run concurrently.
const INSTANCE_CONNECTIONS: usize = 4_096;

/// Stand-in services and two proxies. Dropping it stops them and removes their files.
pub(crate) struct Fleet {
    pub(crate) proxies: Vec<Proxy>,
    instances: Vec<Database>,
    store: Store,
    _host_list: HostList,
    _config_dir: TempDir,
}

impl Fleet {
    /// Starts one database of three instances and two proxies, and waits until the database is
    /// reachable through both.
    pub(crate) fn start(arguments: &Arguments) -> Result<Self, BenchError> {
        let listen_address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let store = Store::start(listen_address).map_err(BenchError::io("start the store"))?;
        let host_list =
            HostList::start(listen_address).map_err(BenchError::io("start the host list"))?;
        let config = DatabaseConfig {
            slots: INSTANCE_CONNECTIONS,
            connections: INSTANCE_CONNECTIONS,
            ..DatabaseConfig::default()
        };
        let start_instance = |number| {
            let address = SocketAddr::from((Ipv4Addr::new(127, 0, 0, number), 0));
            Database::start(address, &config).map_err(BenchError::io("start an instance"))
        };
        let instances: Vec<_> = (1..=3).map(start_instance).collect::<Result<_, _>>()?;
        let config_dir =
            TempDir::new().map_err(BenchError::io("create a directory for the settings"))?;
        let dependencies = (store.address(), host_list.address());
        let proxies = proxy::start_all(2, &arguments.daemon, dependencies, config_dir.path())?;
        let fleet =
            Self { proxies, instances, store, _host_list: host_list, _config_dir: config_dir };
        fleet.write_configuration(&arguments.durability)?;
        for proxy in &fleet.proxies {
            fleet.wait_until_serving(proxy)?;
        }
        fleet.create_tables()?;
        Ok(fleet)
    }

    /// Index of the proxy that owns the database.
    pub(crate) fn owner(&self) -> Result<usize, BenchError> {
        wait_for("a proxy to own the database", WAIT_TIMEOUT, || {
            let is_owner = |proxy: &Proxy| !proxy.status()["databases"][0]["owned"].is_null();
            self.proxies.iter().position(is_owner).ok_or_else(|| "no proxy owns it".to_owned())
        })
    }

    /// Address of the primary instance.
    pub(crate) fn primary(&self) -> Result<SocketAddr, BenchError> {
        let owner = &self.proxies[self.owner()?];
        wait_for("a known primary", WAIT_TIMEOUT, || {
            let status = owner.status();
            let name = status["databases"][0]["owned"]["primary"].as_str().unwrap_or_default();
            let index = services::INSTANCES.iter().position(|it| *it == name);
            index.map(|index| self.instances[index].address()).ok_or_else(|| status.to_string())
        })
    }

    fn write_configuration(&self, durability: &str) -> Result<(), BenchError> {
        let addresses: Vec<_> = self.instances.iter().map(Database::address).collect();
        let value = serde_json::json!({
            "version": 1,
            "apply_id": "bench-1",
            "applied_by": "bench",
            "applied_at_unix_s": 0,
            "text": services::service_file(&addresses, durability),
        });
        let store = ConsulStore::new(&format!("http://{}", self.store.address()));
        let deadline = Instant::now() + WAIT_TIMEOUT;
        match store.compare_and_swap(
            "flamingorock/config",
            0,
            value.to_string().as_bytes(),
            deadline,
        ) {
            Ok(SwapOutcome::Swapped) => Ok(()),
            other => {
                let found = format!("{other:?}");
                Err(BenchError::Unexpected { operation: "writing the configuration", found })
            }
        }
    }

    fn wait_until_serving(&self, proxy: &Proxy) -> Result<(), BenchError> {
        wait_for("a proxy to serve the database", WAIT_TIMEOUT, || {
            let attempt = Session::open(proxy.caller_address, SessionOptions::default());
            let result = attempt.and_then(|mut session| session.run_query("SELECT 1"));
            result.map_err(|error| error.to_string())
        })
    }

    fn create_tables(&self) -> Result<(), BenchError> {
        let mut session = Session::open(self.proxies[0].caller_address, SessionOptions::default())?;
        Statement::SETUP.iter().try_for_each(|text| session.run_query(text))
    }
}
