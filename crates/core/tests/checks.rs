//! The checks on the callers' histories catch deliberately wrong variants of the rules. A check that
//! cannot fail proves nothing.

mod world;

use flamingorock_core::configuration::Durability;
use world::settings::Sabotage;
use world::{Fault, Happening, Settings, World};

const CAUSES: [&str; 7] = [
    "acknowledged and lost",
    "present more than once",
    "reported as not run",
    "gets the answer to",
    "runs in a transaction of",
    "misses its acknowledged write",
    "took effect in part",
];

/// Runs a variant with a fault for a few seeds and returns the kinds of violations found.
fn violations(settings: &Settings, fault: Option<Fault>) -> Vec<&'static str> {
    let mut found = Vec::new();
    for seed in 1..=5 {
        let mut world = World::new(Settings { seed, ..settings.clone() });
        if let Some(fault) = fault {
            world.schedule(3_000_000, Happening::Fault(fault));
        }
        world.run_until(8_000_000);
        world.finish(2_000_000);
        for cause in CAUSES {
            let violations = &world.history.violations;
            if violations.iter().any(|text| text.contains(cause)) && !found.contains(&cause) {
                found.push(cause);
            }
        }
    }
    found
}

fn sabotaged(sabotage: Sabotage) -> Settings {
    Settings { sabotage: Some(sabotage), lag_us: 50_000, ..Settings::default() }
}

/// A primary that is cut off from its group loses what it acknowledges without a check of the term and
/// position.
#[test]
fn acknowledgement_without_evidence_is_caught() {
    let cut = Some(Fault::CutPrimaryFromGroup { database: 0 });
    let found = violations(&sabotaged(Sabotage::ConfirmAnyPosition), cut);
    assert!(found.contains(&"acknowledged and lost"), "{found:?}");
}

/// An owner that is paused and resumes reads from a superseded primary without a check of the term.
#[test]
fn confirmation_without_the_term_is_caught() {
    let settings =
        Settings { durability: Durability::Primary, ..sabotaged(Sabotage::ConfirmAnyTerm) };
    let cut = Some(Fault::CutPrimaryFromGroup { database: 0 });
    let found = violations(&settings, cut);
    assert!(found.contains(&"acknowledged and lost"), "{found:?}");
}

/// Replicas that are believed to be further than they are serve reads that miss own writes.
#[test]
fn reads_without_the_token_are_caught() {
    let found = violations(&sabotaged(Sabotage::ConfirmAnyPosition), None);
    assert!(found.contains(&"misses its acknowledged write"), "{found:?}");
}

/// A write that is sent again although it has arrived takes effect twice.
#[test]
fn repeated_requests_are_caught() {
    let found = violations(&sabotaged(Sabotage::RepeatRequests), None);
    assert!(found.contains(&"present more than once"), "{found:?}");
}

/// An answer that reaches another caller.
#[test]
fn crossed_answers_are_caught() {
    let found = violations(&sabotaged(Sabotage::CrossAnswers), None);
    assert!(found.contains(&"gets the answer to"), "{found:?}");
}

/// A connection that reaches the next session with a transaction left open on it, after the entry
/// proxy of the former session has died.
#[test]
fn transactions_left_open_are_caught() {
    let mut settings = Settings { callers: 40, ..sabotaged(Sabotage::KeepTransactions) };
    settings.mix.transaction_percent = 50;
    let found = violations(&settings, Some(Fault::KillOtherThanOwner));
    assert!(found.contains(&"runs in a transaction of"), "{found:?}");
}

/// A refusal as not run that is not true.
#[test]
fn false_refusals_are_caught() {
    let found = violations(&sabotaged(Sabotage::RefuseAfterRun), None);
    assert!(found.contains(&"reported as not run"), "{found:?}");
}

/// Acknowledgement at the primary alone loses writes when the primary dies; the rule `replica` in the
/// same runs does not.
#[test]
fn durability_primary_loses_writes_and_replica_does_not() {
    let primary =
        Settings { durability: Durability::Primary, lag_us: 1_000_000, ..Settings::default() };
    let kill = Some(Fault::KillPrimary { database: 0 });
    assert!(violations(&primary, kill).contains(&"acknowledged and lost"));
    let replica = Settings { durability: Durability::Replica, ..primary };
    assert_eq!(violations(&replica, kill), Vec::<&str>::new());
}
