//! Service file that the proxies of the benchmark load.

use std::fmt::Write;
use std::net::SocketAddr;

/// Name of the only database.
pub(crate) const DATABASE: &str = "ledger-1";
/// Names of its instances.
pub(super) const INSTANCES: [&str; 3] = ["a", "b", "c"];
/// Statements that run concurrently on one instance. The stand-in serializes statements on one
/// lock, so more slots would only lengthen the wait for it.
const SLOTS: usize = 64;

/// Returns the service file for the three instances.
pub(super) fn service_file(addresses: &[SocketAddr], durability: &str) -> String {
    let mut text = format!(
        "[service ledger-commun]\ndurability = {durability}\nmax_staleness_ms = 2000\n\
         ranks = normal\ndefault_rank = normal\nqueue_limit = 20000\ncallers_limit = 15000\n\
         [rank ledger-commun/normal]\ntarget_latency_ms = 1000\ntarget_percent = 99\n\
         floor_percent = 0\nworth = 10\ndeadline_ms = 10000\n\
         [database {DATABASE}]\nservice = ledger-commun\n"
    );
    for (address, name) in addresses.iter().zip(INSTANCES) {
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "[instance {DATABASE}/{name}]\naddress = {address}\ndata_centre = port-louis\n\
             slots = {SLOTS}\nconnections = {}",
            SLOTS + 2
        );
    }
    text
}
