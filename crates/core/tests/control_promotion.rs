//! Tests of failover and switchover of primaries on virtual time.

#[allow(dead_code, reason = "each test file uses a part of it")]
mod control_support;

use control_support::{
    MAX_SERVICE_GAP_US, MS, SECOND, Simulation, database, running_fleet, summarize,
};
use flamingorock_core::InstanceId;
use flamingorock_core::control::Event;

/// Breaks the primary of a running fleet after a random time, and measures the time until another
/// one serves. Returns the simulation, the index of the old primary and the service gap.
fn measure_failover(
    seed: u64,
    break_primary: impl Fn(&mut Simulation, u8),
) -> (Simulation, u8, u64) {
    let mut simulation = running_fleet(seed, "ledger-1");
    simulation.logs_instance_calls = true;
    let phase_us = simulation.random_below(600 * MS);
    simulation.run_for(phase_us);
    let (_, served) = simulation.serving_host("ledger-1").unwrap();
    let primary = served.primary_index.unwrap();
    break_primary(&mut simulation, primary);
    assert!(simulation.serving_host("ledger-1").is_none());
    let gap_us =
        simulation.run_until_met(MAX_SERVICE_GAP_US, |s| s.serving_host("ledger-1").is_some());
    let (_, served) = simulation.serving_host("ledger-1").unwrap();
    assert_ne!(served.primary_index, Some(primary));
    (simulation, primary, gap_us)
}

/// Guards against a service gap above the target after a primary crashes, and against an old
/// primary that does not become a replica when it returns.
#[test]
fn primary_killed() {
    let gaps = (1..=20).map(|seed| {
        let (mut simulation, old, gap_us) = measure_failover(seed, |simulation, primary| {
            simulation.instance("ledger-1", primary).up = false;
        });
        simulation.run_for(2 * SECOND);
        simulation.instance("ledger-1", old).up = true;
        simulation.run_for(2 * SECOND);
        let (_, served) = simulation.serving_host("ledger-1").unwrap();
        let instance = simulation.instance("ledger-1", old);
        assert_eq!(instance.follows, served.primary_index.map(usize::from));
        assert_eq!((instance.accepted, instance.primary_of), (served.term, None));
        if seed == 1 {
            insta::assert_snapshot!("primary_killed", simulation.take_log());
        }
        gap_us
    });
    println!("primary killed, minimum / median / maximum gap: {}", summarize(gaps.collect()));
}

/// Guards against keeping a primary that responds to the proxies but cannot reach its replicas, and
/// against promoting it again because of its unreplicated writes.
#[test]
fn primary_partitioned_from_its_group() {
    let gaps = (1..=20).map(|seed| {
        let (mut simulation, _, gap_us) = measure_failover(seed, |simulation, primary| {
            simulation.instance("ledger-1", primary).partitioned_from_group = true;
        });
        simulation.run_for(5 * SECOND);
        assert!(simulation.serving_host("ledger-1").is_some(), "{}", simulation.take_log());
        gap_us
    });
    println!(
        "primary partitioned from its group, minimum / median / maximum gap: {}",
        summarize(gaps.collect())
    );
}

/// Guards against keeping a primary that only its replicas can reach: it must be replaced, and the
/// replicas must stop confirming its writes.
#[test]
fn primary_partitioned_from_proxies() {
    let gaps = (1..=20).map(|seed| {
        let (mut simulation, old, gap_us) = measure_failover(seed, |simulation, primary| {
            simulation.instance("ledger-1", primary).partitioned_from_proxies = true;
        });
        let position = simulation.instance("ledger-1", old).position;
        simulation.run_for(SECOND);
        let (_, served) = simulation.serving_host("ledger-1").unwrap();
        let group = &simulation.groups[&database("ledger-1")];
        assert!(group.instances[usize::from(served.primary_index.unwrap())].position > position);
        gap_us
    });
    println!(
        "primary partitioned from the proxies, minimum / median / maximum gap: {}",
        summarize(gaps.collect())
    );
}

/// Guards against two primaries, or none, when the response to a promotion call is lost.
#[test]
fn promote_response_lost() {
    let (mut simulation, ..) = measure_failover(1, |simulation, primary| {
        for index in 0..3 {
            simulation.instance("ledger-1", index).lost_promote_responses = 1;
        }
        simulation.instance("ledger-1", primary).up = false;
    });
    insta::assert_snapshot!(simulation.take_log());
}

/// Crashes the primary, then the instance promoted in its place before its response arrives.
/// Returns both indices at the point where one of three instances is up and the owner has excluded
/// the second.
fn lose_two_instances() -> (Simulation, u8, u8) {
    let mut simulation = running_fleet(1, "ledger-1");
    simulation.logs_instance_calls = true;
    let (_, served) = simulation.serving_host("ledger-1").unwrap();
    let first = served.primary_index.unwrap();
    for index in 0..3 {
        simulation.instance("ledger-1", index).lost_promote_responses = 1;
    }
    simulation.instance("ledger-1", first).up = false;
    simulation
        .run_until_met(MAX_SERVICE_GAP_US, |s| s.log.iter().any(|line| line.contains("Promote")));
    let promoted =
        (0..3).find(|&i| simulation.instance("ledger-1", i).primary_of > Some(served.term));
    let second = promoted.expect("an instance has been promoted");
    simulation.instance("ledger-1", second).up = false;
    simulation.run_for(600 * MS);
    assert!(simulation.serving_host("ledger-1").is_none(), "one of three instances is no majority");
    (simulation, first, second)
}

/// Guards against a promotion that hangs when the chosen instance crashes during the promotion.
#[test]
fn second_failure_during_a_promotion() {
    let (mut simulation, first, _) = lose_two_instances();
    simulation.instance("ledger-1", first).up = true;
    simulation.run_until_met(MAX_SERVICE_GAP_US, |s| s.serving_host("ledger-1").is_some());
    insta::assert_snapshot!(simulation.take_log());
}

/// Guards against lost writes when an excluded instance returns: the third instance lags, so the
/// excluded one must be promoted.
#[test]
fn returned_instance_is_chosen_unless_the_others_are_a_majority() {
    let (mut simulation, _, second) = lose_two_instances();
    simulation.instance("ledger-1", second).up = true;
    simulation.run_until_met(MAX_SERVICE_GAP_US, |s| s.serving_host("ledger-1").is_some());
    let (_, served) = simulation.serving_host("ledger-1").unwrap();
    assert_eq!(served.primary_index, Some(second));
}

/// Guards against a promotion that waits for the store.
#[test]
fn store_outage_at_the_time_of_a_promotion() {
    let (mut simulation, _, gap_us) = measure_failover(1, |simulation, primary| {
        simulation.store.down = true;
        simulation.instance("ledger-1", primary).up = false;
    });
    simulation.run_for(5 * SECOND);
    simulation.store.down = false;
    simulation.run_for(15 * SECOND);
    assert!(simulation.serving_host("ledger-1").is_some());
    println!("primary killed, store down, gap: {} ms", gap_us / MS);
}

/// Guards against a failover for a fault that the design tolerates: pauses of a primary, and
/// partitions of its links, of less than 400 ms.
#[test]
fn pauses_under_400_ms_never_promote() {
    for seed in 1..=20 {
        let mut simulation = running_fleet(seed, "ledger-1");
        let (_, served) = simulation.serving_host("ledger-1").unwrap();
        let primary = served.primary_index.unwrap();
        for round in 0..12 {
            let (gap_us, phase_us) =
                (simulation.random_below(399 * MS), simulation.random_below(900 * MS));
            simulation.run_for(SECOND + phase_us);
            let set = |simulation: &mut Simulation, value: bool| {
                let instance = simulation.instance("ledger-1", primary);
                match round % 3 {
                    0 => instance.paused = value,
                    1 => instance.partitioned_from_group = value,
                    _ => instance.partitioned_from_proxies = value,
                }
            };
            set(&mut simulation, true);
            simulation.run_for(gap_us);
            set(&mut simulation, false);
        }
        simulation.run_for(2 * SECOND);
        let (_, after) = simulation.serving_host("ledger-1").unwrap();
        assert_eq!(after.term, served.term, "seed {seed}:\n{}", simulation.take_log());
    }
}

/// Guards against a failover because of a slow primary: a status call times out only after 600 ms.
#[test]
fn slow_primary_stays() {
    let mut simulation = running_fleet(1, "ledger-1");
    let before = simulation.serving_host("ledger-1").unwrap();
    let primary = before.1.primary_index.unwrap();
    simulation.instance("ledger-1", primary).response_delay_us = 550 * MS;
    simulation.run_for(20 * SECOND);
    assert_eq!(simulation.serving_host("ledger-1"), Some(before), "{}", simulation.take_log());
}

/// Guards against an owner that, after a short pause of its own, takes its primary or its peers for
/// failed.
#[test]
fn pause_of_the_owner_under_400_ms_changes_nothing() {
    let mut simulation = running_fleet(5, "ledger-1");
    let (owner, served) = simulation.serving_host("ledger-1").unwrap();
    for _ in 0..10 {
        simulation.run_for(700 * MS);
        simulation.node(owner).paused = true;
        simulation.run_for(390 * MS);
        simulation.node(owner).paused = false;
    }
    simulation.run_for(SECOND);
    assert_eq!(
        simulation.serving_host("ledger-1"),
        Some((owner, served)),
        "{}",
        simulation.take_log()
    );
}

/// Guards against a primary that stays on a backend server that is leaving, and against treating
/// more than the named instance as leaving.
#[test]
fn leaving_backend_server() {
    let mut simulation = running_fleet(1, "ledger-1 ledger-2");
    let (owner, served) = simulation.serving_host("ledger-1").unwrap();
    let (_, other) = simulation.serving_host("ledger-2").unwrap();
    let leaving = served.primary_index.unwrap();
    let name = format!("ledger-1-{}", ["a", "b", "c"][usize::from(leaving)]);
    simulation.publish_leaving_hosts(&[&name]);
    simulation.run_for(10 * MS);
    let expected = InstanceId { database: database("ledger-1"), index: leaving };
    assert_eq!(simulation.node(owner).view.leaving, [expected], "only the named instance leaves");
    simulation.run_until_met(2 * SECOND, |s| {
        s.serving_host("ledger-1").is_some_and(|(_, after)| after.primary_index != Some(leaving))
    });
    assert_eq!(simulation.serving_host("ledger-2").unwrap().1, other);
    insta::assert_snapshot!(simulation.take_log());
}

/// Guards against a primary that stays idle on a leaving host because the previous primary was
/// moved away from another leaving host shortly before.
#[test]
fn backend_servers_leave_one_after_the_other() {
    let mut simulation = running_fleet(1, "ledger-1");
    let (_, served) = simulation.serving_host("ledger-1").unwrap();
    let name = |index: u8| format!("ledger-1-{}", ["a", "b", "c"][usize::from(index)]);
    let first = served.primary_index.unwrap();
    simulation.publish_leaving_hosts(&[&name(first)]);
    let has_left = |s: &Simulation, left: &[u8]| {
        s.serving_host("ledger-1")
            .is_some_and(|(_, now)| !left.contains(&now.primary_index.unwrap()))
    };
    simulation.run_until_met(MAX_SERVICE_GAP_US, |s| has_left(s, &[first]));
    let second = simulation.serving_host("ledger-1").unwrap().1.primary_index.unwrap();
    simulation.publish_leaving_hosts(&[&name(first), &name(second)]);
    simulation.run_until_met(MAX_SERVICE_GAP_US, |s| has_left(s, &[first, second]));
}

/// Guards against missing an instance on a leaving host that the host list identifies by address
/// only.
#[test]
fn leaving_host_matched_by_address() {
    let mut simulation = running_fleet(1, "ledger-1");
    simulation.publish_leaving_hosts(&["backend-7"]);
    simulation.run_for(10 * MS);
    let (owner, _) = simulation.serving_host("ledger-1").expect("nowhere to move the primary to");
    assert_eq!(simulation.node(owner).view.leaving.len(), 3);
}

/// Guards against a switchover that loses writes which the old primary has acknowledged, or that
/// moves the primary to a lagging instance.
#[test]
fn planned_switchover() {
    let mut simulation = running_fleet(1, "ledger-1");
    let (owner, served) = simulation.serving_host("ledger-1").unwrap();
    let old = served.primary_index.unwrap();
    let target = (old + 2) % 3;
    simulation.groups.get_mut(&database("ledger-1")).unwrap().writes = false;
    let request =
        Event::SwitchoverRequested { database: database("ledger-1"), instance_index: target };
    simulation.send(owner, request.clone());
    simulation.run_until_met(2 * SECOND, |s| {
        s.serving_host("ledger-1").is_some_and(|(_, after)| after.primary_index == Some(target))
    });
    let group = simulation.groups.get_mut(&database("ledger-1")).unwrap();
    (group.writes, group.lagging) = (true, vec![usize::from(old)]);
    simulation.run_for(SECOND);
    let instance_index = old;
    simulation
        .send(owner, Event::SwitchoverRequested { database: database("ledger-1"), instance_index });
    simulation.run_for(10 * SECOND);
    let (_, after) = simulation.serving_host("ledger-1").unwrap();
    assert_eq!(after.primary_index, Some(target), "the primary stays");
    insta::assert_snapshot!(simulation.take_log());
}

/// Guards against a database that stays with an owner that cannot reach a majority of its instances
/// while the standby can.
#[test]
fn owner_without_majority_offers_the_database() {
    let mut simulation = running_fleet(1, "ledger-1");
    let (owner, _) = simulation.serving_host("ledger-1").unwrap();
    simulation.partitioned_from_instances = Some(owner);
    simulation.run_until_met(MAX_SERVICE_GAP_US, |s| {
        s.serving_host("ledger-1").is_some_and(|(h, _)| h != owner)
    });
    insta::assert_snapshot!(simulation.take_log());
}
