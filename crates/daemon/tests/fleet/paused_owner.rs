//! An owner whose process is stopped for a while and cannot notice it.

use crate::support::{DATABASE, Fleet, Ledger, TABLE, row_count, wait_for};

/// Guards against an owner that acts on its old ownership after a pause, which could duplicate or
/// lose an acknowledged write, or return a read that misses a write that a newer owner has
/// acknowledged.
#[test]
fn a_paused_owner_does_no_harm_when_it_goes_on() {
    let fleet = Fleet::start(3);
    fleet.proxies[0].connect(DATABASE).batch_execute(TABLE).expect("the table");
    let owner = fleet.owner();
    let (paused, other) = (&fleet.proxies[owner], &fleet.proxies[(owner + 1) % 3]);
    let mut ledger = Ledger::new(1);
    ledger.write_until_acknowledged(other);
    let mut client = paused.connect(DATABASE);
    paused.pause();
    // This write stays in the socket buffer of the paused process until that is resumed.
    let caller = std::thread::spawn(move || {
        let mut ledger = Ledger::new(1000);
        let _ = ledger.write(&mut client);
        ledger
    });
    let during = ledger.write_until_acknowledged(other);
    paused.resume();
    assert_eq!(row_count(paused, during), 1, "the resumed proxy reads the latest write");
    wait_for("the end of the old ownership", || match &paused.status()["databases"][0]["owned"] {
        owned if owned.is_null() => Ok(()),
        owned => Err(owned.to_string()),
    });
    let after = ledger.write_until_acknowledged(paused);
    for proxy in &fleet.proxies {
        for id in [during, after] {
            assert_eq!(row_count(proxy, id), 1, "payment {id} through host {}", proxy.id);
        }
    }
    ledger.merge(caller.join().expect("the thread"));
    ledger.check(&fleet, fleet.primary());
}
