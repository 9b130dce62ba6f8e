//! Behaviour of the control machine on virtual time.

#[allow(dead_code)] // Each test file uses a part of it.
mod control_support;

use control_support::{SECOND, Simulation, database};

/// Guards against two owners, or none, when a whole fleet starts at the same time.
#[test]
fn first_claim_by_one_of_five_hosts() {
    let mut simulation = Simulation::new(5, 1, "ledger-1");
    simulation.logs_calls = true;
    simulation.run_for(3 * SECOND);
    let (host, served) = simulation.server("ledger-1").expect("the database is served");
    for node in simulation.nodes.values() {
        let route = node.view.owner_of(database("ledger-1")).expect("every host knows the owner");
        assert_eq!((route.owner, route.epoch), (host, served.term.epoch()));
    }
    insta::assert_snapshot!(simulation.take_log());
}
