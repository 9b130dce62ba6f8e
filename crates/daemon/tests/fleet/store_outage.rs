//! Failures during an outage of the key-value service.

use flamingorock_standin::Database;

use crate::support::{DATABASE, Fleet, Ledger, TABLE, row_count, wait_for};

/// Guards against a failover that waits for the key-value service, and against proxies that do not
/// use the service again after its outage.
#[test]
fn a_primary_is_replaced_during_a_store_outage() {
    let mut fleet = Fleet::start(2);
    fleet.proxies[0].connect(DATABASE).batch_execute(TABLE).expect("the table");
    let mut ledger = Ledger::new(1);
    let before = ledger.write_until_acknowledged(&fleet.proxies[0]);
    let old = fleet.primary();
    fleet.set_store_fault("outage=true");
    drop(fleet.instances[old].take().map(Database::stop));
    let mut ids = vec![before];
    for proxy in &fleet.proxies {
        ids.push(ledger.write_until_acknowledged(proxy));
    }
    let new = fleet.primary();
    assert_ne!(new, old);
    for proxy in &fleet.proxies {
        for id in &ids {
            assert_eq!(row_count(proxy, *id), 1, "payment {id} through host {}", proxy.id);
        }
    }
    ledger.check(&fleet, new);
    wait_for_store(&fleet, false);
    fleet.set_store_fault("outage=false");
    wait_for_store(&fleet, true);
}

/// Waits until every proxy's status page shows the given availability of the key-value service.
fn wait_for_store(fleet: &Fleet, available: bool) {
    for proxy in &fleet.proxies {
        wait_for("the key-value service", || match &proxy.status()["store_available"] {
            found if *found == available => Ok(()),
            other => Err(format!("{other} at host {}", proxy.id)),
        });
    }
}
