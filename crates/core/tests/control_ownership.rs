//! Tests of the ownership of databases on virtual time: claims, takeovers, stepping down and
//! draining.

#[allow(dead_code, reason = "each test file uses a part of it")]
mod control_support;

use control_support::{
    MAX_SERVICE_GAP_US, MS, SECOND, Simulation, database, running_fleet, running_fleet_of,
    summarize,
};
use flamingorock_core::control::Event;
use flamingorock_core::{HostId, Term};

/// Guards against two owners, or none, when a whole fleet starts at the same time.
#[test]
fn first_claim_by_one_of_five_hosts() {
    let mut simulation = Simulation::new(5, 1, "ledger-1");
    simulation.logs_instance_calls = true;
    simulation.run_for(3 * SECOND);
    let (host, served) = simulation.serving_host("ledger-1").expect("the database is served");
    for node in simulation.nodes.values() {
        let route = node.view.owner_of(database("ledger-1")).expect("every host knows the owner");
        assert_eq!((route.owner, route.epoch), (host, served.term.epoch()));
    }
    insta::assert_snapshot!(simulation.take_log());
}

/// Guards against two owners when hosts that are partitioned from each other claim the same
/// database. The compare-and-swap succeeds for one of them, and the other must accept the record it
/// then reads.
#[test]
fn two_hosts_claim_at_once() {
    let mut simulation = Simulation::new(2, 1, "ledger-1");
    simulation.isolate(HostId(1));
    simulation.run_for(2 * SECOND);
    assert_eq!(simulation.owners("ledger-1").len(), 1, "{}", simulation.take_log());
    // Each host suspects the other and takes the database from it, at increasing intervals.
    simulation.run_for(58 * SECOND);
    insta::assert_snapshot!(simulation.take_log());
}

fn failover_after_owner_crash(seed: u64, store_down: bool) -> u64 {
    let mut simulation = running_fleet(seed, "ledger-1");
    let (owner, before) = simulation.serving_host("ledger-1").unwrap();
    simulation.store.down = store_down;
    let phase_us = simulation.random_below(600 * MS);
    simulation.run_for(phase_us);
    simulation.node(owner).up = false;
    let gap_us =
        simulation.run_until_met(MAX_SERVICE_GAP_US, |s| s.serving_host("ledger-1").is_some());
    let (_, after) = simulation.serving_host("ledger-1").unwrap();
    assert!(after.term > before.term);
    simulation.store.down = false;
    simulation.run_for(20 * SECOND);
    let (_, record) = simulation.store.records[&database("ledger-1")];
    let (host, served) = simulation.serving_host("ledger-1").unwrap();
    assert_eq!((record.owner, record.owner_epoch), (host, served.term.epoch()), "seed {seed}");
    assert!(record.standby.is_some_and(|standby| standby != owner && standby != host));
    gap_us
}

/// Guards against a takeover that exceeds the service gap target, and against an ownership record
/// that is not updated afterwards.
#[test]
fn owner_killed() {
    let gaps = (1..=20).map(|seed| failover_after_owner_crash(seed, false)).collect();
    println!("owner killed, minimum / median / maximum gap: {}", summarize(gaps));
}

/// Guards against a takeover that waits for the store.
#[test]
fn owner_killed_while_the_store_is_down() {
    let gaps = (1..=20).map(|seed| failover_after_owner_crash(seed, true)).collect();
    println!("owner killed, store down, minimum / median / maximum gap: {}", summarize(gaps));
}

/// Guards against a database that stays without an owner when its owner and standby crash together.
#[test]
fn owner_and_standby_killed() {
    let mut simulation = running_fleet(3, "ledger-1");
    let (_, record) = simulation.store.records[&database("ledger-1")];
    simulation.node(record.owner).up = false;
    simulation.node(record.standby.unwrap()).up = false;
    simulation.run_until_met(MAX_SERVICE_GAP_US, |s| s.serving_host("ledger-1").is_some());
    simulation.run_for(3 * SECOND);
    let (_, after) = simulation.store.records[&database("ledger-1")];
    assert!(after.owner_epoch > record.standby_epoch);
    insta::assert_snapshot!(simulation.take_log());
}

/// Guards against an owner that acts on outdated state when it resumes after a pause: it must step
/// down without promoting an instance or suspecting a peer.
#[test]
fn paused_owner_resumes_and_steps_down() {
    let mut simulation = running_fleet(2, "ledger-1");
    let (owner, _) = simulation.serving_host("ledger-1").unwrap();
    let before = simulation.node(owner).control.counters();
    simulation.node(owner).paused = true;
    simulation.run_for(4 * SECOND);
    simulation.node(owner).paused = false;
    simulation.run_for(2 * SECOND);
    let after = simulation.node(owner).control.counters();
    assert_eq!(after.promotions, before.promotions);
    assert_eq!(after.suspicions, before.suspicions);
    assert_eq!(after.step_downs, 1);
    assert!(simulation.node(owner).view.served.is_empty());
    insta::assert_snapshot!(simulation.take_log());
}

/// Guards against a standby that suspects a healthy owner when it resumes after a pause.
#[test]
fn paused_standby_resumes_and_takes_nothing() {
    let mut simulation = running_fleet_of(2, 1, "ledger-1");
    let (_, record) = simulation.store.records[&database("ledger-1")];
    let standby = record.standby.unwrap();
    simulation.node(standby).paused = true;
    simulation.run_for(4 * SECOND);
    simulation.node(standby).paused = false;
    simulation.run_for(2 * SECOND);
    assert_eq!(simulation.node(standby).control.counters().suspicions, 0);
    assert_eq!(simulation.owners("ledger-1"), [record.owner]);
}

/// Guards against an isolated owner that takes its replaced primary for a failed one, because no
/// message of the new owner reaches it. The higher term that the instances report must make it step
/// down.
#[test]
fn isolated_owner_steps_down_on_a_higher_term() {
    let mut simulation = running_fleet(2, "ledger-1");
    let (owner, _) = simulation.serving_host("ledger-1").unwrap();
    simulation.isolate(owner);
    simulation.run_until_met(MAX_SERVICE_GAP_US, |s| {
        s.serving_host("ledger-1").is_some_and(|(h, _)| h != owner)
    });
    simulation.run_for(SECOND);
    assert!(simulation.node(owner).view.served.is_empty(), "{}", simulation.take_log());
}

/// Guards against a host that assumes an outcome of its claim when the response of the store was
/// lost. It must read the record back.
#[test]
fn swap_response_lost() {
    let mut simulation = Simulation::new(3, 1, "ledger-1");
    simulation.store.lost_swap_responses = 2;
    simulation.run_until_met(8 * SECOND, |s| s.serving_host("ledger-1").is_some());
    simulation.run_for(8 * SECOND);
    let (_, record) = simulation.store.records[&database("ledger-1")];
    let (host, served) = simulation.serving_host("ledger-1").unwrap();
    assert_eq!((record.owner, record.owner_epoch), (host, served.term.epoch()));
    assert_eq!(simulation.owners("ledger-1").len(), 1);
    insta::assert_snapshot!(simulation.take_log());
}

/// Guards against a database without a standby after the standby crashes, and against reserving the
/// same epoch for two processes after it restarts.
#[test]
fn lost_standby_is_replaced() {
    let mut simulation = running_fleet(1, "ledger-1");
    let (_, first) = simulation.store.records[&database("ledger-1")];
    simulation.node(first.standby.unwrap()).up = false;
    simulation.run_for(5 * SECOND);
    let (_, second) = simulation.store.records[&database("ledger-1")];
    assert!(second.standby.is_some() && second.standby != first.standby);
    simulation.start(second.standby.unwrap().0, 5, 1);
    simulation.run_for(5 * SECOND);
    let (_, third) = simulation.store.records[&database("ledger-1")];
    assert_eq!(third.standby, second.standby);
    let epochs = [first, second, third].map(|record| (record.owner_epoch, record.standby_epoch));
    assert_eq!(epochs, [(1, 2), (1, 3), (1, 4)]);
}

/// Guards against a database whose primary can no longer be replaced once the terms of an epoch are
/// exhausted.
#[test]
fn exhausted_terms_lead_to_a_new_epoch() {
    let mut simulation = running_fleet(1, "ledger-1");
    for index in 0..3 {
        simulation.instance("ledger-1", index).accepted = Term((1 << 16) + 0xffff);
    }
    simulation.run_for(SECOND);
    simulation.run_until_met(MAX_SERVICE_GAP_US, |s| s.serving_host("ledger-1").is_some());
    assert_eq!(simulation.serving_host("ledger-1").unwrap().1.term, Term::first_of_epoch(3));
}

/// Guards against a database without an owner after the owner's process restarts before any peer
/// suspects it.
#[test]
fn owner_restarts_at_once() {
    let mut simulation = running_fleet(4, "ledger-1");
    let (owner, _) = simulation.serving_host("ledger-1").unwrap();
    simulation.start(owner.0, 5, 4);
    simulation.run_until_met(MAX_SERVICE_GAP_US, |s| s.serving_host("ledger-1").is_some());
    assert_eq!(simulation.owners("ledger-1").len(), 1);
}

/// Guards against a shutdown that interrupts requests. Each database stops admitting work and is
/// then handed over; the drain finishes only when the standbys have taken over all of them.
#[test]
fn drain() {
    let mut simulation = running_fleet(1, "ledger-1 ledger-2 ledger-3");
    let (owner, _) = simulation.serving_host("ledger-1").unwrap();
    simulation.send(owner, Event::DrainRequested);
    let names = ["ledger-1", "ledger-2", "ledger-3"];
    simulation.run_until_met(3 * SECOND, |s| s.nodes[&owner].drained);
    simulation.run_until_met(SECOND, |s| names.iter().all(|name| s.serving_host(name).is_some()));
    simulation.run_for(3 * SECOND);
    for (_, record) in simulation.store.records.values() {
        assert!(record.owner != owner && record.standby != Some(owner));
    }
    assert!(simulation.node(owner).view.draining);
    insta::assert_snapshot!(simulation.take_log());
}

/// Guards against a drain that waits forever for an open transaction.
#[test]
fn drain_does_not_wait_longer_than_the_handover_limit() {
    let mut simulation = running_fleet(1, "ledger-1");
    let (owner, _) = simulation.serving_host("ledger-1").unwrap();
    simulation.node(owner).reports_quiescence = false;
    simulation.send(owner, Event::DrainRequested);
    let limit_us = simulation.node(owner).control.config().handover_timeout_us;
    simulation.run_for(limit_us - 100 * MS);
    assert!(!simulation.node(owner).drained);
    simulation.run_until_met(SECOND, |s| s.nodes[&owner].drained);
    simulation.run_until_met(SECOND, |s| s.serving_host("ledger-1").is_some());
}

/// Guards against a takeover because of one broken link while other hosts still receive heartbeats
/// from the owner.
#[test]
fn broken_link_between_owner_and_standby_changes_nothing() {
    let mut simulation = running_fleet(1, "ledger-1");
    let (_, record) = simulation.store.records[&database("ledger-1")];
    simulation.partitions.push((record.owner, record.standby.unwrap()));
    simulation.run_for(20 * SECOND);
    assert_eq!(simulation.take_log(), "");
}

/// Guards against a temporarily isolated standby that takes a database from an owner that callers
/// can reach.
#[test]
fn isolated_standby_waits() {
    let mut simulation = running_fleet(1, "ledger-1");
    let (_, record) = simulation.store.records[&database("ledger-1")];
    simulation.isolate(record.standby.unwrap());
    simulation.run_for(3 * SECOND);
    simulation.partitions.clear();
    simulation.run_for(20 * SECOND);
    assert_eq!(simulation.serving_host("ledger-1").unwrap().0, record.owner);
    assert!(!simulation.take_log().contains("owned from"));
}

/// Guards against a service gap above the target when the standby is the only remaining host.
#[test]
fn last_host_takes_over() {
    let mut simulation = running_fleet_of(3, 1, "ledger-1");
    let (_, record) = simulation.store.records[&database("ledger-1")];
    for host in [1, 2, 3].map(HostId).into_iter().filter(|&host| Some(host) != record.standby) {
        simulation.node(host).up = false;
    }
    simulation.run_until_met(MAX_SERVICE_GAP_US, |s| s.serving_host("ledger-1").is_some());
}

/// Guards against false suspicions and slow takeovers in a fleet that is too large to send every
/// heartbeat to all hosts.
#[test]
fn larger_fleet() {
    for seed in 1..=5 {
        let mut simulation = running_fleet_of(14, seed, "ledger-1 ledger-2 ledger-3");
        simulation.run_for(60 * SECOND);
        assert_eq!(simulation.take_log(), "", "seed {seed}");
        let (owner, _) = simulation.serving_host("ledger-1").unwrap();
        simulation.node(owner).up = false;
        simulation.run_until_met(MAX_SERVICE_GAP_US, |s| s.serving_host("ledger-1").is_some());
        let successor = simulation.serving_host("ledger-1").unwrap().0;
        simulation.run_until_met(MAX_SERVICE_GAP_US, |s| {
            let mut nodes = s.nodes.values().filter(|node| node.up);
            let id = database("ledger-1");
            nodes.all(|node| node.view.owner_of(id).is_some_and(|r| r.owner == successor))
        });
    }
}

/// Guards against restoring old state from a heartbeat that is reordered or from an earlier
/// process.
#[test]
fn stale_heartbeats_do_not_count() {
    let mut simulation = running_fleet(1, "ledger-1");
    let receiver = HostId(1);
    let heartbeat = simulation.last_heartbeat[&HostId(2)].clone();
    simulation.run_for(SECOND);
    let before = simulation.node(receiver).control.counters();
    let mut older_process = heartbeat.clone();
    (older_process.incarnation, older_process.sequence) = (0, u64::MAX);
    for stale in [heartbeat, older_process] {
        simulation.send(receiver, Event::HeartbeatReceived(stale));
    }
    simulation.run_for(MS);
    let after = simulation.node(receiver).control.counters();
    assert_eq!(after.heartbeats_dropped - before.heartbeats_dropped, 2);
}

/// Guards against a status report that lacks what an operator needs during an incident.
#[test]
fn status() {
    let mut simulation = running_fleet(1, "ledger-1");
    let (owner, _) = simulation.serving_host("ledger-1").unwrap();
    simulation.instance("ledger-1", 2).up = false;
    simulation.store.down = true;
    simulation.run_for(SECOND);
    insta::assert_debug_snapshot!(simulation.node(owner).control.status());
}
