//! Stand-ins and proxies of the job.

use std::env;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

use flamingorock_standin::{Database, DatabaseConfig, HostList, Store};
use postgres::{Client, NoTls};

use super::folder::Folder;
use super::proxy::{Addresses, Proxy};
use super::settings::{DATABASE, INSTANCES, proxy_settings, service_file};
use super::wait::Wait;
use super::{DemoArguments, DemoError, admin, ledger};

/// Everything that the job has started. It ends when it is dropped, the proxies first.
pub(super) struct Fleet {
    pub(super) proxies: [Proxy; 2],
    instances: [Option<Database>; 3],
    _store: Store,
    _host_list: HostList,
    _folder: Folder,
}

impl Fleet {
    /// Starts stand-ins and proxies, applies a service file and creates the table.
    pub(super) fn start(arguments: &DemoArguments, wait: &Wait) -> Result<Self, DemoError> {
        let programs = programs(arguments)?;
        let local = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let failed = || DemoError::io("cannot start a stand-in");
        let store = Store::start(local).map_err(failed())?;
        let host_list = HostList::start(local).map_err(failed())?;
        let start = || Database::start(local, &DatabaseConfig::default()).map_err(failed());
        let instances = [start()?, start()?, start()?];
        println!("started: key-value service, host list, database {DATABASE} of 3 instances");

        let folder = Folder::create()?;
        let proxies = start_proxies(&programs, &folder, store.address(), host_list.address())?;
        println!("started: proxies {} and {}", proxies[0].name, proxies[1].name);
        let services = service_file(&instances.each_ref().map(Database::address));
        let services = folder.write("services.ini", &services)?;
        apply(&programs, &services, store.address())?;
        let instances = instances.map(Some);
        let fleet =
            Self { proxies, instances, _store: store, _host_list: host_list, _folder: folder };
        fleet.create_table(wait)?;
        Ok(fleet)
    }

    fn create_table(&self, wait: &Wait) -> Result<(), DemoError> {
        for proxy in &self.proxies {
            wait.until("service through a proxy", || {
                let mut client = Client::connect(&proxy.url(), NoTls).map_err(ledger::reason)?;
                client.simple_query("SELECT 1").map(drop).map_err(ledger::reason)
            })?;
        }
        let url = self.proxies[0].url();
        let mut client = Client::connect(&url, NoTls).map_err(DemoError::Database)?;
        // Without a primary key, so that a doubled write shows as a second row.
        let table = "CREATE TABLE invoices (number INT, amount INT)";
        client.batch_execute(table).map_err(DemoError::Database)?;
        println!("database {DATABASE} is served through both proxies");
        Ok(())
    }

    /// Connection strings of all proxies, killed ones included.
    pub(super) fn proxy_urls(&self) -> Vec<String> {
        self.proxies.iter().map(Proxy::url).collect()
    }

    /// Index of the proxy that owns the database.
    pub(super) fn owner(&self, wait: &Wait) -> Result<usize, DemoError> {
        wait.until("an owner", || {
            let owns = |proxy: &Proxy| matches!(admin::owned(proxy.admin), Ok(Some(_)));
            self.proxies.iter().position(owns).ok_or_else(|| "none".to_owned())
        })
    }

    /// Index of the instance that the owner shows as the primary.
    pub(super) fn primary(&self, wait: &Wait) -> Result<usize, DemoError> {
        wait.until("a primary", || {
            let pages = self.proxies.iter().filter_map(|it| admin::owned(it.admin).ok().flatten());
            let mut names = pages.filter_map(|page| page["primary"].as_str().map(str::to_owned));
            let name = names.next_back().ok_or_else(|| "none".to_owned())?;
            INSTANCES.iter().position(|it| *it == name).ok_or(name)
        })
    }

    pub(super) fn instance_name(&self, index: usize) -> String {
        format!("{DATABASE}/{}", INSTANCES[index])
    }

    /// Ends an instance as a crash would. Returns its name.
    pub(super) fn kill_instance(&mut self, index: usize) -> String {
        drop(self.instances[index].take().map(Database::stop));
        self.instance_name(index)
    }

    /// Numbers of all invoices in the log of the current primary, read through its control port.
    pub(super) fn logged_invoices(&self, wait: &Wait) -> Result<Vec<i32>, DemoError> {
        let primary = self.primary(wait)?;
        let Some(instance) = &self.instances[primary] else {
            let (what, seen) = ("a running primary".to_owned(), self.instance_name(primary));
            return Err(DemoError::TooLate { what, seen });
        };
        let (ip, port) = (instance.control_address().ip(), instance.control_address().port());
        let url = format!("host={ip} port={port} user=demo dbname={DATABASE}");
        let mut client = Client::connect(&url, NoTls).map_err(DemoError::Database)?;
        let rows = client.query("SELECT number FROM invoices", &[]).map_err(DemoError::Database)?;
        Ok(rows.iter().map(|row| row.get(0)).collect())
    }
}

/// Folder of the programs.
fn programs(arguments: &DemoArguments) -> Result<PathBuf, DemoError> {
    if let Some(folder) = &arguments.programs {
        return Ok(folder.clone());
    }
    let own = env::current_exe().map_err(DemoError::io("cannot find this program"))?;
    Ok(own.parent().map(Path::to_path_buf).unwrap_or_default())
}

fn start_proxies(
    programs: &Path,
    folder: &Folder,
    store: SocketAddr,
    host_list: SocketAddr,
) -> Result<[Proxy; 2], DemoError> {
    let addresses = [Addresses::free(), Addresses::free()];
    let start = |id: usize| {
        let settings = proxy_settings(id, &addresses, store, host_list);
        let settings = folder.write(&format!("entry-{id}.ini"), &settings)?;
        let program = programs.join("flamingorockd");
        Proxy::start(format!("entry-{id}"), addresses[id - 1], &program, &settings)
    };
    Ok([start(1)?, start(2)?])
}

/// Applies the service file with the operators' command line.
fn apply(programs: &Path, services: &Path, store: SocketAddr) -> Result<(), DemoError> {
    let program = programs.join("flamingoctl");
    let output = Command::new(&program)
        .arg("apply")
        .arg(services)
        .args(["--store", &format!("http://{store}"), "--applied-by", "demo"])
        .stdin(Stdio::null())
        .output()
        .map_err(DemoError::io(format!("cannot start {program:?}")))?;
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).trim().to_owned();
    if !output.status.success() {
        return Err(DemoError::Apply { output: text(&output.stderr) });
    }
    println!("service file: {}", text(&output.stdout).lines().next().unwrap_or_default());
    Ok(())
}
