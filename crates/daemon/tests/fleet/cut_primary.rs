//! A primary that a network partition cuts off from the replicas, but not from the proxies.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use crate::support::{DATABASE, Fleet, Ledger, TABLE, row_count, wait_for};

/// Guards against writes acknowledged by a primary that has been replaced, against a database that
/// is left without a primary that can confirm writes, and against a former primary that keeps log
/// entries of its own after it is reachable again.
#[test]
fn a_primary_cut_off_from_its_group_is_replaced() {
    let fleet = Fleet::start(2);
    fleet.proxies[0].connect(DATABASE).batch_execute(TABLE).expect("the table");
    let mut ledger = Ledger::new(1);
    let before = ledger.write_until_acknowledged(&fleet.proxies[0]);
    let old = fleet.primary();
    let stopped = Arc::new(AtomicBool::new(false));
    let writer = spawn_writer(fleet.proxies[1].url(DATABASE), Arc::clone(&stopped));
    fleet.control_query(old, "SELECT standin_fault('cut_group', 1)");
    wait_for("another primary", || match fleet.primary() {
        found if found == old => Err("still the same primary".to_owned()),
        _ => Ok(()),
    });
    let after = ledger.write_until_acknowledged(&fleet.proxies[0]);
    stopped.store(true, Ordering::Relaxed);
    ledger.merge(writer.join().expect("the thread"));
    for proxy in &fleet.proxies {
        for id in [before, after] {
            assert_eq!(row_count(proxy, id), 1, "payment {id} through host {}", proxy.id);
        }
    }
    fleet.control_query(old, "SELECT standin_fault('cut_group', 0)");
    let new = fleet.primary();
    let status = "SELECT role, log_term, lsn FROM flamingorock_status()";
    let position = |instance: usize| {
        let row = &fleet.control_query(instance, status)[0];
        [0, 1, 2].map(|column| row.get(column).unwrap_or_default().to_owned())
    };
    wait_for("the log of the former primary", || match (position(old), position(new)) {
        (old, new) if old[0] == "replica" && old[1..] == new[1..] => Ok(()),
        other => Err(format!("{other:?}")),
    });
    ledger.check(&fleet, new);
    ledger.check(&fleet, old);
}

/// Sends payments one after the other, so that the failover happens while one is in flight.
fn spawn_writer(url: String, stopped: Arc<AtomicBool>) -> std::thread::JoinHandle<Ledger> {
    std::thread::spawn(move || {
        let mut ledger = Ledger::new(1000);
        while !stopped.load(Ordering::Relaxed) {
            if let Ok(mut client) = postgres::Client::connect(&url, postgres::NoTls) {
                // The ledger records the outcome.
                let _ = ledger.write(&mut client);
            }
        }
        ledger
    })
}
