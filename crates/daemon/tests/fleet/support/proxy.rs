//! Proxy processes.

use std::fmt::Write as _;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};

use flamingorock_standin::{HostList, Store};

use super::{free_port, wait_for};

/// Key for the admin ports of all proxies.
pub const ADMIN_KEY: &str = "test-key-0123456789";

/// A proxy process. Dropping it kills the process.
pub struct Proxy {
    pub id: u16,
    pub callers: SocketAddr,
    pub peers: SocketAddr,
    pub admin: SocketAddr,
    child: Child,
}

/// Starts `count` proxies that have each other as peers.
pub fn start_all(count: u16, threads: u8, store: &Store, host_list: &HostList) -> Vec<Proxy> {
    let address = || SocketAddr::from((Ipv4Addr::LOCALHOST, free_port()));
    let addresses: Vec<_> = (1..=count).map(|id| (id, address(), address(), address())).collect();
    let mut proxies = Vec::new();
    for &(id, callers, peers, admin) in &addresses {
        let mut text = format!(
            "[host]\nid = {id}\nname = entry-{id}\ndata_centre = port-louis\n\
             [listen]\ncallers = {callers}\npeers = {peers}\nadmin = {admin}\n[peers]\n"
        );
        for (other, _, address, _) in addresses.iter().filter(|(other, ..)| *other != id) {
            let _ = writeln!(text, "{other} = {address}");
        }
        let _ = write!(
            text,
            "[store]\nurl = http://{}\n[host_list]\nurl = http://{}\n[traffic]\n\
             threads = {threads}\n[admin]\nkey = {ADMIN_KEY}\n",
            store.address(),
            host_list.address()
        );
        proxies.push(Proxy::start(id, callers, peers, admin, &text));
    }
    proxies
}

impl Proxy {
    fn start(
        id: u16,
        callers: SocketAddr,
        peers: SocketAddr,
        admin: SocketAddr,
        settings: &str,
    ) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let path = folder.join(format!("proxy-{}.ini", callers.port()));
        std::fs::write(&path, settings).expect("the settings can be written");
        let child = crate::daemon_command(&path)
            .stdout(Stdio::null())
            .spawn()
            .expect("the daemon can be started");
        Self { id, callers, peers, admin, child }
    }

    /// Connection string for a database.
    pub fn url(&self, database: &str) -> String {
        let SocketAddr::V4(address) = self.callers else { unreachable!("addresses are IPv4") };
        format!("host={} port={} user=test dbname={database}", address.ip(), address.port())
    }

    /// Connects to a database. Fails if the proxy refuses the caller.
    pub fn try_connect(&self, database: &str) -> Result<postgres::Client, postgres::Error> {
        postgres::Client::connect(&self.url(database), postgres::NoTls)
    }

    /// Connects to a database that is known to be served.
    pub fn connect(&self, database: &str) -> postgres::Client {
        self.try_connect(database).expect("the proxy accepts the caller")
    }

    /// Sends a request with the key to the admin port. Returns status and body; the status is 0 if
    /// there is no response.
    pub fn admin(&self, method: &str, path: &str, body: &str) -> (u16, String) {
        self.http(method, path, &format!("Authorization: Bearer {ADMIN_KEY}\r\n"), body)
    }

    /// Sends a request without the key, but with the given headers, to the admin port.
    pub fn http(&self, method: &str, path: &str, headers: &str, body: &str) -> (u16, String) {
        super::http(self.admin, method, path, headers, &body)
    }

    /// Returns the value of a metric, summed over its labels.
    pub fn metric(&self, name: &str) -> f64 {
        let body = self.http("GET", "/metrics", "", "").1;
        let lines = body.lines().filter_map(|line| line.strip_prefix(name));
        let values = lines.filter(|rest| rest.starts_with([' ', '{']));
        values.filter_map(|rest| rest.split(' ').next_back()?.parse::<f64>().ok()).sum()
    }

    /// Kills the process with SIGKILL, as in a crash.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process runs");
        self.child.wait().expect("the process has ended");
    }

    /// Asks the process to shut down.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Stops the process with SIGSTOP, which it cannot notice, until it is resumed.
    pub fn pause(&self) {
        self.signal("STOP");
    }

    /// Resumes a paused process.
    pub fn resume(&self) {
        self.signal("CONT");
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        let arguments = [format!("-{name}"), self.child.id().to_string()];
        let status = Command::new("kill").args(arguments).status();
        assert!(status.is_ok_and(|status| status.success()), "the signal is sent");
    }

    /// Returns the status page, or null if the proxy does not respond.
    pub fn status(&self) -> serde_json::Value {
        serde_json::from_str(&self.admin("GET", "/admin/status", "").1).unwrap_or_default()
    }

    /// Waits until the process has exited by itself.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        wait_for("the end of the process", || match self.child.try_wait() {
            Ok(Some(status)) => Ok(status),
            other => Err(format!("{other:?}")),
        })
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
