//! Proves that the checks on the callers' histories detect deliberately injected bugs.

mod world;

use flamingorock_core::configuration::Durability;
use world::settings::InjectedBug;
use world::{Fault, ScheduledEvent, Settings, World};

const VIOLATIONS: [&str; 7] = [
    "acknowledged and lost",
    "present more than once",
    "reported as not run",
    "receives the reply to",
    "runs in a transaction of",
    "misses its acknowledged write",
    "took effect in part",
];

/// Runs the settings with a fault for five seeds and returns the kinds of violations found.
fn violations(settings: &Settings, fault: Option<Fault>) -> Vec<&'static str> {
    let mut found = Vec::new();
    for seed in 1..=5 {
        let mut world = World::new(Settings { seed, ..settings.clone() });
        if let Some(fault) = fault {
            world.schedule(3_000_000, ScheduledEvent::Fault(fault));
        }
        world.run_until(8_000_000);
        world.finish(2_000_000);
        for kind in VIOLATIONS {
            let violations = &world.history.violations;
            if violations.iter().any(|text| text.contains(kind)) && !found.contains(&kind) {
                found.push(kind);
            }
        }
    }
    found
}

fn with_bug(injected_bug: InjectedBug) -> Settings {
    Settings { injected_bug: Some(injected_bug), lag_us: 50_000, ..Settings::default() }
}

/// Bug: a write is acknowledged without proof that a replica has reached its position. A primary that is
/// partitioned from its group then loses acknowledged writes.
#[test]
fn acknowledgement_without_replication_is_detected() {
    let partition = Some(Fault::PartitionPrimaryFromGroup { database: 0 });
    let found = violations(&with_bug(InjectedBug::SkipPositionCheck), partition);
    assert!(found.contains(&"acknowledged and lost"), "{found:?}");
}

/// Bug: a result is confirmed without proof that the primary's term is still the accepted one. A primary
/// that is partitioned from its group and superseded then loses acknowledged writes.
#[test]
fn confirmation_without_term_check_is_detected() {
    let settings =
        Settings { durability: Durability::Primary, ..with_bug(InjectedBug::SkipTermCheck) };
    let partition = Some(Fault::PartitionPrimaryFromGroup { database: 0 });
    let found = violations(&settings, partition);
    assert!(found.contains(&"acknowledged and lost"), "{found:?}");
}

/// Bug: a replica is assumed to have reached the minimum position of a read, which then misses writes of
/// its own session.
#[test]
fn reads_below_the_minimum_position_are_detected() {
    let found = violations(&with_bug(InjectedBug::SkipPositionCheck), None);
    assert!(found.contains(&"misses its acknowledged write"), "{found:?}");
}

/// Bug: a write that was delivered is sent again and takes effect twice.
#[test]
fn resent_requests_are_detected() {
    let found = violations(&with_bug(InjectedBug::ResendDeliveredRequests), None);
    assert!(found.contains(&"present more than once"), "{found:?}");
}

/// Bug: a reply goes to the wrong caller.
#[test]
fn misrouted_replies_are_detected() {
    let found = violations(&with_bug(InjectedBug::MisrouteReplies), None);
    assert!(found.contains(&"receives the reply to"), "{found:?}");
}

/// Bug: a connection is reused while a transaction is open on it, after the entry proxy of the session
/// that opened it was killed.
#[test]
fn transactions_left_open_are_detected() {
    let mut settings = Settings { callers: 40, ..with_bug(InjectedBug::KeepTransactionOnReset) };
    settings.mix.transaction_percent = 50;
    let found = violations(&settings, Some(Fault::KillNonOwner));
    assert!(found.contains(&"runs in a transaction of"), "{found:?}");
}

/// Bug: a request that has run is refused as not run.
#[test]
fn false_refusals_are_detected() {
    let found = violations(&with_bug(InjectedBug::RefuseExecutedRequests), None);
    assert!(found.contains(&"reported as not run"), "{found:?}");
}

/// With durability `primary`, acknowledged writes are lost when the primary is killed. In the same runs
/// with `replica`, none are.
#[test]
fn durability_primary_loses_writes_and_replica_does_not() {
    let primary =
        Settings { durability: Durability::Primary, lag_us: 1_000_000, ..Settings::default() };
    let kill = Some(Fault::KillPrimary { database: 0 });
    assert!(violations(&primary, kill).contains(&"acknowledged and lost"));
    let replica = Settings { durability: Durability::Replica, ..primary };
    assert_eq!(violations(&replica, kill), Vec::<&str>::new());
}
