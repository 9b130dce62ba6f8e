//! Applies that race or whose answers are lost.

use crate::ctl::{apply, ctl, run, text, wait_for_version};
use crate::support::Fleet;

/// Service file of the fleet with another queue limit.
fn changed(fleet: &Fleet, queue_limit: u32) -> String {
    let limit = format!("durability = replica\nqueue_limit = {queue_limit}\n");
    fleet.services().replace("durability = replica\n", &limit)
}

/// Text of the configuration in force.
fn in_force(fleet: &Fleet) -> String {
    let store = format!("http://{}", fleet.store.address());
    run(ctl(&["get", "--raw", "--store", &store]))
}

/// Guards against two operators who both believe that their configuration is in force, and against a
/// loser who is not told the winning version and operator.
#[test]
fn one_of_two_racing_operators_wins() {
    let fleet = Fleet::start(2);
    // Both read the version in force before either of the slow writes takes effect.
    fleet.set_store_fault("latency_ms=200");
    let names = ["first", "second"];
    let texts = [changed(&fleet, 501), changed(&fleet, 502)];
    let start = |index: usize| {
        let mut command = apply(&fleet, names[index], &texts[index]);
        command.args(["--expect-version", "1"]).spawn().expect("flamingoctl can be started")
    };
    let outputs = [start(0), start(1)].map(|run| run.wait_with_output().expect("the end"));
    fleet.set_store_fault("latency_ms=0");
    let shown = outputs.each_ref().map(text);
    let winner = usize::from(outputs[0].status.code() != Some(0));
    assert_eq!(outputs[winner].status.code(), Some(0), "{shown:?}");
    assert!(shown[winner].starts_with("applied as version 2"), "{shown:?}");
    assert_eq!(outputs[1 - winner].status.code(), Some(3), "{shown:?}");
    let told = format!("version 2, applied by {}", names[winner]);
    assert!(shown[1 - winner].contains(&told), "{shown:?}");
    assert_eq!(in_force(&fleet).trim_end(), texts[winner].trim_end());
    wait_for_version(&fleet, 2);
}

/// Guards against an apply that reports a failure, or applies a second time, because the store's
/// answer to its write was lost.
#[test]
fn an_apply_whose_answer_is_lost_is_done_once() {
    let fleet = Fleet::start(2);
    let text = changed(&fleet, 503);
    fleet.set_store_fault("lose_answers=1&lose_answers_of=flamingorock/config");
    let printed = run(apply(&fleet, "operator", &text));
    assert!(printed.starts_with("applied as version 2"), "{printed}");
    assert_eq!(in_force(&fleet).trim_end(), text.trim_end());
    wait_for_version(&fleet, 2);
    // The same file again: the first apply is the one that counts.
    let printed = run(apply(&fleet, "operator", &text));
    assert!(printed.contains("in force as version 2, applied by operator"), "{printed}");
}
