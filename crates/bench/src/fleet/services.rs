//! Service file of the benchmark.

use std::fmt::Write;
use std::net::SocketAddr;

/// Name of the database.
pub(crate) const DATABASE: &str = "ledger-1";
/// Names of its instances.
pub(super) const INSTANCES: [&str; 3] = ["a", "b", "c"];
/// Statements that run at a time on one instance. More would only add to the wait inside of the
/// stand-in, which has one lock.
const SLOTS: usize = 64;

/// Text of the service file.
pub(super) fn text(addresses: &[SocketAddr], durability: &str) -> String {
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
