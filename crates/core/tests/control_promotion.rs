//! Loss and change of primaries on virtual time.

#[allow(dead_code, reason = "each test file uses a part of it")]
mod control_support;

use control_support::{
    MAX_SERVICE_GAP_US, MS, SECOND, Simulation, database, running_fleet, summarize,
};
use flamingorock_core::InstanceId;
use flamingorock_core::control::Event;

/// Breaks a settled fleet's primary after a random time and measures until another one serves.
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

/// Guards against a gap above the target after the death of a primary, and against an old primary
/// that is not made to follow when it comes back.
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
    println!("primary killed, smallest / median / greatest gap: {}", summarize(gaps.collect()));
}

/// Guards against a primary that nobody replaces because it still answers the proxies, and against
/// choosing it again for its unconfirmed writes.
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
    println!("primary cut off, smallest / median / greatest gap: {}", summarize(gaps.collect()));
}

/// Guards against a primary that only its own group can reach: it must be replaced, and its group
/// must stop confirming its writes.
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
        "cut off from proxies, smallest / median / greatest gap: {}",
        summarize(gaps.collect())
    );
}

/// Guards against a second primary, or none, when the answer to a promotion is lost.
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

/// Kills the primary, then the instance that is promoted in its place before its answer arrives.
/// Returns both, once one of three instances is left and the owner has given up the second.
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

/// Guards against a promotion that hangs when the chosen instance dies while it is promoted.
#[test]
fn second_failure_during_a_promotion() {
    let (mut simulation, first, _) = lose_two_instances();
    simulation.instance("ledger-1", first).up = true;
    simulation.run_until_met(MAX_SERVICE_GAP_US, |s| s.serving_host("ledger-1").is_some());
    insta::assert_snapshot!(simulation.take_log());
}

/// Guards against lost writes when an instance that was given up comes back: the third one lags, so
/// the one that was given up must be chosen.
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

/// Guards against a promotion for a pause or loss that the design lets pass: everything up to
/// 400 ms, of a primary or of its links.
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

/// Guards against a promotion because of a slow primary: a call is unanswered after 600 ms only.
#[test]
fn slow_primary_stays() {
    let mut simulation = running_fleet(1, "ledger-1");
    let before = simulation.serving_host("ledger-1").unwrap();
    let primary = before.1.primary_index.unwrap();
    simulation.instance("ledger-1", primary).response_delay_us = 550 * MS;
    simulation.run_for(20 * SECOND);
    assert_eq!(simulation.serving_host("ledger-1"), Some(before), "{}", simulation.take_log());
}

/// Guards against a pause of the owner itself that it takes for the death of its primary or peers.
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

/// Guards against new work, or a primary, that stays on a backend server that is leaving.
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

/// Guards against a primary that stays without work on a leaving host because another one has just
/// been moved away from such a host.
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

/// Guards against an instance on a leaving host that the platform's list knows by address only.
#[test]
fn leaving_host_matched_by_address() {
    let mut simulation = running_fleet(1, "ledger-1");
    simulation.publish_leaving_hosts(&["backend-7"]);
    simulation.run_for(10 * MS);
    let (owner, _) = simulation.serving_host("ledger-1").expect("nowhere to move the primary to");
    assert_eq!(simulation.node(owner).view.leaving.len(), 3);
}

/// Guards against a planned promotion that loses what the old primary has acknowledged, or that
/// moves the primary to an instance that lags.
#[test]
fn planned_switchover() {
    let mut simulation = running_fleet(1, "ledger-1");
    let (owner, served) = simulation.serving_host("ledger-1").unwrap();
    let old = served.primary_index.unwrap();
    let wanted = (old + 2) % 3;
    simulation.groups.get_mut(&database("ledger-1")).unwrap().writes = false;
    let request =
        Event::SwitchoverRequested { database: database("ledger-1"), instance_index: wanted };
    simulation.send(owner, request.clone());
    simulation.run_until_met(2 * SECOND, |s| {
        s.serving_host("ledger-1").is_some_and(|(_, after)| after.primary_index == Some(wanted))
    });
    let group = simulation.groups.get_mut(&database("ledger-1")).unwrap();
    (group.writes, group.lagging) = (true, vec![usize::from(old)]);
    simulation.run_for(SECOND);
    let instance_index = old;
    simulation
        .send(owner, Event::SwitchoverRequested { database: database("ledger-1"), instance_index });
    simulation.run_for(10 * SECOND);
    let (_, after) = simulation.serving_host("ledger-1").unwrap();
    assert_eq!(after.primary_index, Some(wanted), "the primary stays");
    insta::assert_snapshot!(simulation.take_log());
}

/// Guards against a database that only its standby could serve staying with an owner that reaches no
/// majority of its instances.
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
