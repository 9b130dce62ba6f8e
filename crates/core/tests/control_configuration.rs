//! Tests of the distribution of configurations and of the calls to the key-value service, on
//! virtual time.

#[allow(dead_code, reason = "each test file uses a part of it")]
mod control_support;

use std::collections::BTreeMap;

use control_support::{MS, SECOND, Simulation, database, running_fleet};
use flamingorock_core::HostId;
use flamingorock_core::control::Event;
use flamingorock_core::message::ControlMessage;

/// Target time for a new configuration to be in force on all hosts, from the design page.
const CONFIGURATION_TARGET_US: u64 = 5 * SECOND;

fn all_have(simulation: &Simulation, version: u64) -> bool {
    let mut nodes = simulation.nodes.values().filter(|node| node.up);
    nodes.all(|node| node.view.configuration.version == version)
}

/// Guards against a change that reaches only the hosts that watch the document.
#[test]
fn change_reaches_every_host() {
    let mut simulation = running_fleet(1, "ledger-1 ledger-2");
    simulation.write_configuration(2, "ledger-1");
    let time_us = simulation.run_until_met(CONFIGURATION_TARGET_US, |s| all_have(s, 2));
    println!("configuration in force everywhere after {} ms", time_us / MS);
    simulation.run_for(SECOND);
    assert!(simulation.owners("ledger-2").is_empty(), "a dropped database is let go");
    insta::assert_snapshot!(simulation.take_log());
}

/// Guards against reverting to an older configuration after a stale read of the store, or after a
/// message from a peer that is behind.
#[test]
fn configuration_never_reverts() {
    let mut simulation = running_fleet(1, "ledger-1");
    simulation.write_configuration(3, "ledger-1 ");
    simulation.run_until_met(CONFIGURATION_TARGET_US, |s| all_have(s, 3));
    simulation.write_configuration(2, "");
    for host in [1, 2, 3, 4, 5].map(HostId) {
        let message = ControlMessage::ConfigurationDocument { version: 1, text: String::new() };
        simulation.send(host, Event::MessageReceived { from: HostId(9), message });
        simulation.send(host, Event::ConfigurationParsed { version: 2, result: Err("x".into()) });
    }
    simulation.run_for(40 * SECOND);
    assert!(all_have(&simulation, 3));
    assert!(simulation.serving_host("ledger-1").is_some());
}

/// Guards against a host that cannot start during an outage of the store although its peers have
/// the configuration.
#[test]
fn fresh_host_gets_the_configuration_from_a_peer() {
    let mut simulation = running_fleet(1, "ledger-1");
    simulation.store.down = true;
    simulation.start(2, 5, 77);
    simulation.run_until_met(CONFIGURATION_TARGET_US, |s| all_have(s, 1));
    simulation.run_for(SECOND);
    let owner = simulation.serving_host("ledger-1").unwrap().0;
    let route = simulation.node(HostId(2)).view.owner_of(database("ledger-1"));
    assert_eq!(route.map(|route| route.owner), Some(owner));
}

/// Guards against a document with a syntax error replacing a valid one, and against parsing it on
/// every read.
#[test]
fn refused_document_is_tried_once() {
    let mut simulation = running_fleet(1, "ledger-1");
    simulation.write_configuration(2, "ledger-1 ?");
    simulation.run_for(40 * SECOND);
    assert!(all_have(&simulation, 1));
    let refused = simulation.nodes.values().map(|n| n.control.counters().configurations_refused);
    assert!(refused.max() == Some(1));
    simulation.write_configuration(3, "ledger-1");
    simulation.run_until_met(CONFIGURATION_TARGET_US, |s| all_have(s, 3));
    insta::assert_snapshot!(simulation.take_log());
}

/// Guards against a database that gets no owner after it is added to the configuration.
#[test]
fn added_database_gets_an_owner() {
    let mut simulation = running_fleet(1, "ledger-1");
    simulation.groups.insert(database("ledger-2"), control_support::fake_group::FakeGroup::new());
    simulation.write_configuration(2, "ledger-1 ledger-2");
    simulation.run_until_met(CONFIGURATION_TARGET_US, |s| s.serving_host("ledger-2").is_some());
}

/// Maximum number of calls that one host makes to the store within any second.
fn max_calls_per_second(calls: &[(u64, HostId)]) -> usize {
    let mut by_host: BTreeMap<HostId, Vec<u64>> = BTreeMap::new();
    for &(time_us, host) in calls {
        by_host.entry(host).or_default().push(time_us);
    }
    let count = |times: &Vec<u64>, start: usize| {
        times[start..].iter().take_while(|&&time| time < times[start] + SECOND).count()
    };
    by_host
        .values()
        .flat_map(|times| (0..times.len()).map(move |start| count(times, start)))
        .max()
        .unwrap_or(0)
}

/// Guards against a burst of calls to a store that has just recovered, and against exceeding the
/// rate limits: a burst of 20 and 5 calls per second, each for configuration calls and for record
/// calls.
#[test]
fn store_calls_stay_within_the_budget() {
    let names: Vec<String> = (1..=120).map(|number| format!("ledger-{number}")).collect();
    let mut simulation = Simulation::new(5, 1, &names.join(" "));
    simulation.run_for(30 * SECOND);
    assert!(names.iter().all(|name| simulation.serving_host(name).is_some()));
    let busiest_at_start = max_calls_per_second(&simulation.store.calls);
    assert!(busiest_at_start <= 2 * 25, "{busiest_at_start} calls");
    simulation.store.down = true;
    simulation.store.calls.clear();
    let victim = simulation.serving_host("ledger-1").unwrap().0;
    simulation.node(victim).up = false;
    simulation.run_for(60 * SECOND);
    assert!(names.iter().all(|name| simulation.serving_host(name).is_some()));
    let during_outage = simulation.store.calls.len();
    simulation.store.calls.clear();
    simulation.store.down = false;
    simulation.run_for(40 * SECOND);
    // A rate limiter accumulates at most one token while the service fails, so there is no burst.
    let busiest_at_recovery = max_calls_per_second(&simulation.store.calls);
    assert!(busiest_at_recovery <= 2 * 7, "{busiest_at_recovery} calls");
    let records = simulation.store.records.values();
    assert!(records.clone().all(|(_, r)| r.owner != victim && r.standby != Some(victim)));
    println!(
        "calls of the busiest host in a second: {busiest_at_start} at the start, \
         {busiest_at_recovery} at recovery; {during_outage} calls of 4 hosts in 60 s of outage"
    );
}
