//! Random schedules of faults on virtual time. The fake instance group panics if an instance is
//! promoted that lacks a write which may have been acknowledged.

#[allow(dead_code, reason = "each test file uses a part of it")]
mod control_support;

use control_support::{MS, SECOND, Simulation, running_fleet};
use flamingorock_core::HostId;

/// Time within which the database must be served again once all faults have ended: the maximum
/// store backoff, the maximum claim delay and the service gap target.
const RECOVERY_US: u64 = (10 + 64 + 5) * SECOND;

fn inject_random_fault(simulation: &mut Simulation) {
    let host = HostId(1 + simulation.random_below(5) as u16);
    let index = simulation.random_below(3) as u8;
    let kind = simulation.random_below(10);
    let instance = simulation.instance("ledger-1", index);
    match kind {
        0 => instance.up = false,
        1 => instance.paused = true,
        2 => instance.partitioned_from_group = true,
        3 => instance.partitioned_from_proxies = true,
        4 => instance.lost_promote_responses = 1,
        5 => simulation.node(host).paused = true,
        6 => simulation.start(host.0, 5, simulation.now_us),
        7 => simulation.isolate(host),
        8 => simulation.store.down = true,
        _ => simulation.store.lost_swap_responses = 1,
    }
}

fn heal(simulation: &mut Simulation) {
    simulation.store.down = false;
    simulation.partitions.clear();
    for host in 1..=5 {
        simulation.node(HostId(host)).paused = false;
    }
    for index in 0..3 {
        let instance = simulation.instance("ledger-1", index);
        instance.up = true;
        instance.paused = false;
        instance.partitioned_from_group = false;
        instance.partitioned_from_proxies = false;
    }
}

/// Guards against lost writes under combined faults, and against a state from which the hosts do
/// not recover after the faults have ended.
#[test]
fn faults_in_combination() {
    let mut slowest_us = 0;
    for seed in 1..=30 {
        let mut simulation = running_fleet(seed, "ledger-1");
        for _ in 0..20 {
            inject_random_fault(&mut simulation);
            let pause_us = simulation.random_below(1_500 * MS);
            simulation.run_for(pause_us);
            if simulation.random_below(3) == 0 {
                heal(&mut simulation);
            }
        }
        heal(&mut simulation);
        let time_us =
            simulation.run_until_met(RECOVERY_US, |s| s.serving_host("ledger-1").is_some());
        slowest_us = slowest_us.max(time_us);
        simulation.run_for(RECOVERY_US);
        assert_eq!(simulation.owners("ledger-1").len(), 1, "seed {seed}");
        assert!(simulation.serving_host("ledger-1").is_some(), "seed {seed}");
    }
    println!("slowest recovery from faults in combination: {} ms", slowest_us / MS);
}
