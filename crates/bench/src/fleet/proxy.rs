//! Proxy processes.

use std::fmt::Write;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use super::ports::free_addresses;
use crate::bench_error::BenchError;

/// API key of the admin endpoints.
const ADMIN_KEY: &str = "bench-key-0123456789";
/// Timeout of a request to an admin endpoint.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(5);

/// A proxy process. Dropping it kills the process.
pub(crate) struct Proxy {
    pub(crate) caller_address: SocketAddr,
    admin_address: SocketAddr,
    child: Child,
}

/// Starts proxies that are configured as peers of each other. `dependencies` holds the addresses of
/// the store and of the host list.
pub(super) fn start_all(
    count: usize,
    daemon: &Path,
    dependencies: (SocketAddr, SocketAddr),
    config_dir: &Path,
) -> Result<Vec<Proxy>, BenchError> {
    let addresses = free_addresses(count * 3).map_err(BenchError::io("find free ports"))?;
    let hosts: Vec<&[SocketAddr]> = addresses.chunks(3).collect();
    let start_proxy = |index: usize| {
        let path = config_dir.join(format!("proxy-{}.ini", index + 1));
        let write_result = fs::write(&path, settings_file(index, &hosts, dependencies));
        write_result.map_err(BenchError::io("write the settings"))?;
        let spawn_result = Command::new(daemon)
            .arg("--config")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn();
        let child = spawn_result.map_err(BenchError::io("start the daemon (see --daemon)"))?;
        Ok(Proxy { caller_address: hosts[index][0], admin_address: hosts[index][2], child })
    };
    (0..count).map(start_proxy).collect()
}

fn settings_file(
    index: usize,
    hosts: &[&[SocketAddr]],
    dependencies: (SocketAddr, SocketAddr),
) -> String {
    let (id, host) = (index + 1, hosts[index]);
    let mut text = format!(
        "[host]\nid = {id}\nname = entry-{id}\ndata_centre = port-louis\n\
         [listen]\ncallers = {}\npeers = {}\nadmin = {}\n[peers]\n",
        host[0], host[1], host[2]
    );
    for (other, addresses) in hosts.iter().enumerate().filter(|(other, _)| *other != index) {
        // Writing to a string cannot fail.
        let _ = writeln!(text, "{} = {}", other + 1, addresses[1]);
    }
    let _ = write!(
        text,
        "[store]\nurl = http://{}\n[host_list]\nurl = http://{}\n\
         [traffic]\nthreads = 1\ncallers_limit = 15000\n[admin]\nkey = {ADMIN_KEY}\n",
        dependencies.0, dependencies.1
    );
    text
}

impl Proxy {
    /// Process id, which addresses its files under `/proc`.
    pub(crate) fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Status document of the admin endpoint; null if the request fails.
    pub(crate) fn status(&self) -> serde_json::Value {
        let agent = ureq::Agent::config_builder().timeout_global(Some(ADMIN_TIMEOUT)).build();
        let request = ureq::Agent::from(agent)
            .get(format!("http://{}/admin/status", self.admin_address))
            .header("Authorization", format!("Bearer {ADMIN_KEY}"));
        let response = request.call().and_then(|mut response| response.body_mut().read_json());
        response.unwrap_or_default()
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        // Both fail if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
