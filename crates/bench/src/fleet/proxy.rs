//! Proxy processes.

use std::fmt::Write;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use super::ports::free_addresses;
use crate::bench_error::BenchError;

/// Key of the admin ports.
const ADMIN_KEY: &str = "bench-key-0123456789";
/// Limit of a request to an admin port.
const ADMIN_LIMIT: Duration = Duration::from_secs(5);

/// A proxy process. It is killed when it is dropped.
pub(crate) struct Proxy {
    pub(crate) callers: SocketAddr,
    admin: SocketAddr,
    child: Child,
}

/// Starts proxies that know each other. `urls` are the addresses of the store and the host list.
pub(super) fn start_all(
    count: usize,
    daemon: &Path,
    urls: (SocketAddr, SocketAddr),
    folder: &Path,
) -> Result<Vec<Proxy>, BenchError> {
    let addresses = free_addresses(count * 3).map_err(BenchError::io("find free ports"))?;
    let hosts: Vec<&[SocketAddr]> = addresses.chunks(3).collect();
    let start = |index: usize| {
        let path = folder.join(format!("proxy-{}.ini", index + 1));
        let written = fs::write(&path, settings(index, &hosts, urls));
        written.map_err(BenchError::io("write the settings"))?;
        let command = Command::new(daemon)
            .arg("--config")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn();
        let child = command.map_err(BenchError::io("start the daemon (see --daemon)"))?;
        Ok(Proxy { callers: hosts[index][0], admin: hosts[index][2], child })
    };
    (0..count).map(start).collect()
}

fn settings(index: usize, hosts: &[&[SocketAddr]], urls: (SocketAddr, SocketAddr)) -> String {
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
        urls.0, urls.1
    );
    text
}

impl Proxy {
    /// Process id.
    pub(crate) fn process(&self) -> u32 {
        self.child.id()
    }

    /// Status page; null if it cannot be had.
    pub(crate) fn status(&self) -> serde_json::Value {
        let agent = ureq::Agent::config_builder().timeout_global(Some(ADMIN_LIMIT)).build();
        let request = ureq::Agent::from(agent)
            .get(format!("http://{}/admin/status", self.admin))
            .header("Authorization", format!("Bearer {ADMIN_KEY}"));
        let answer = request.call().and_then(|mut answer| answer.body_mut().read_json());
        answer.unwrap_or_default()
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
