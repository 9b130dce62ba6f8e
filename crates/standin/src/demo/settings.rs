//! Files that the job writes.

use std::fmt::Write;
use std::net::SocketAddr;

use super::proxy::Addresses;

/// Key of the admin ports. They are on loopback and end with the job.
pub(super) const ADMIN_KEY: &str = "demo-key-0123456789";
/// Name of the database.
pub(super) const DATABASE: &str = "ledger-1";
/// Names of its instances.
pub(super) const INSTANCES: [&str; 3] = ["a", "b", "c"];

/// Settings of one proxy.
pub(super) fn proxy_settings(
    id: usize,
    all: &[Addresses; 2],
    store: SocketAddr,
    host_list: SocketAddr,
) -> String {
    let Addresses { callers, peers, admin } = all[id - 1];
    let (other_id, other) = (3 - id, all[2 - id].peers);
    format!(
        "[host]\nid = {id}\nname = entry-{id}\ndata_centre = port-louis\n\
         [listen]\ncallers = {callers}\npeers = {peers}\nadmin = {admin}\n\
         [peers]\n{other_id} = {other}\n\
         [store]\nurl = http://{store}\n[host_list]\nurl = http://{host_list}\n\
         [admin]\nkey = {ADMIN_KEY}\n[log]\nlevel = warn\n"
    )
}

/// Service file with one database.
pub(super) fn service_file(instances: &[SocketAddr]) -> String {
    let mut text = format!(
        "[service ledger-commun]\ndurability = replica\nmax_staleness_ms = 0\n\
         ranks = urgent, normal\ndefault_rank = normal\n\
         [rank ledger-commun/urgent]\ntarget_latency_ms = 250\ntarget_percent = 99.9\n\
         floor_percent = 20\nworth = 100\ndeadline_ms = 5000\n\
         [rank ledger-commun/normal]\ntarget_latency_ms = 1000\ntarget_percent = 99\n\
         floor_percent = 20\nworth = 10\ndeadline_ms = 5000\n\
         [database {DATABASE}]\nservice = ledger-commun\n"
    );
    for (address, name) in instances.iter().zip(INSTANCES) {
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "[instance {DATABASE}/{name}]\naddress = {address}\ndata_centre = port-louis\n\
             slots = 2\nconnections = 16"
        );
    }
    text
}
