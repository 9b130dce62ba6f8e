//! The real programs in the pooled mode, end to end against the platform's stand-ins.

mod relay;
mod soak;
mod support;

use std::thread;
use std::time::Duration;

use flamingorock_standin::jardinet::{Platform, StoreFault};
use rustix::process::Signal;
use support::{Caller, Proxy, get, wait_until, write_until_served};

fn start(proxies: usize) -> (Platform, Vec<Proxy>) {
    let platform = Platform::start().expect("the stand-ins start");
    let proxies: Vec<Proxy> = (0..proxies).map(|index| Proxy::start(index, &platform)).collect();
    proxies.iter().for_each(Proxy::wait_ready);
    (platform, proxies)
}

/// Guards the path of a statement from the caller's socket to an instance and back, for each kind of
/// read and for transactions, values and prepared names.
#[test]
fn serves_statements() {
    let (_platform, proxies) = start(2);
    let data = write_until_served(proxies[0].callers, "strict", "a");
    let mut caller = Caller::connect(proxies[1].callers, "strict").expect("a session");
    assert_eq!(caller.query("READ a").expect("an answer").rows, [data]);
    let begun = caller.query("BEGIN").expect("an answer");
    assert_eq!((begun.is_complete(), begun.state.as_str()), (true, "T"));
    assert!(caller.query("WRITE b 1").expect("an answer").is_complete());
    let committed = caller.query("COMMIT").expect("an answer");
    assert_eq!((committed.is_complete(), committed.state.as_str()), (true, "I"));
    assert_eq!(caller.query("READ b").expect("an answer").rows, ["1"]);
    assert!(caller.query("SET colour red").expect("an answer").is_complete());
    assert!(caller.query("PREPARE s READ shape").expect("an answer").is_complete());
    assert_eq!(caller.query("EXECUTE s b").expect("an answer").rows, ["1"]);
    assert_eq!(caller.query("EXECUTE other b").expect("an answer").outcome, "NOSTMT");
    assert_eq!(caller.query("NONSENSE").expect("an answer").outcome, "MALFORMED");
    let mut own = Caller::connect(proxies[0].callers, "own").expect("a session");
    assert!(own.query("WRITE c 2").expect("an answer").is_complete());
    assert_eq!(own.query("READ c").expect("an answer").rows, ["2"]);
    let mut stale = Caller::connect(proxies[0].callers, "stale").expect("a session");
    assert!(stale.query("READ c").expect("an answer").is_complete());
    let error = Caller::connect(proxies[0].callers, "nowhere").err().expect("a refusal");
    assert!(error.to_string().contains("UNKNOWNDB"), "{error}");
}

/// Guards against a primary that is not replaced, against a promotion whose number does not rise, and
/// against an acknowledged write that is lost or doubled on the way.
#[test]
fn replaces_a_killed_primary() {
    let (mut platform, proxies) = start(3);
    let first = write_until_served(proxies[0].callers, "strict", "a");
    platform.kill(0);
    let second = write_until_served(proxies[1].callers, "strict", "b");
    assert_ne!(platform.leader(), 0);
    let kept: Vec<String> = platform.writes().into_iter().map(|write| write.data).collect();
    assert!(kept.contains(&first) && kept.contains(&second), "{kept:?}");
    platform.restart(0).expect("the instance starts");
    let leader = platform.leader();
    platform.kill(leader);
    write_until_served(proxies[2].callers, "strict", "c");
    let fences = platform.fences();
    assert!(fences.is_sorted(), "{fences:?}");
    assert_eq!(platform.superseded_writes(), []);
}

/// Guards against a service that stops with the store, whether it is down, silent, loses its answers
/// or revokes leases.
#[test]
fn serves_without_the_store() {
    let (platform, proxies) = start(2);
    for fault in [StoreFault::Busy, StoreFault::Silent, StoreFault::LosesAnswers] {
        platform.set_store_fault(fault);
        thread::sleep(Duration::from_millis(1_500));
        write_until_served(proxies[0].callers, "strict", "a");
        assert!(proxies[0].is_ready());
        platform.set_store_fault(StoreFault::None);
    }
    platform.revoke_leases();
    write_until_served(proxies[1].callers, "strict", "b");
    wait_until("both proxies count each other again", || {
        let metrics = get(proxies[0].metrics, "/metrics").unwrap_or_default();
        metrics.contains("flamingorock_pool_proxies 2")
    });
}

/// Guards against a proxy that stood still during a replacement and goes on with the old primary.
#[test]
fn paused_proxy_follows_a_replacement() {
    let (mut platform, proxies) = start(3);
    write_until_served(proxies[0].callers, "strict", "a");
    proxies[2].signal(Signal::STOP);
    platform.kill(0);
    write_until_served(proxies[0].callers, "strict", "b");
    platform.restart(0).expect("the instance starts");
    proxies[2].signal(Signal::CONT);
    write_until_served(proxies[2].callers, "strict", "c");
    assert_eq!(platform.superseded_writes(), []);
}

/// Guards against a stop that cuts sessions off: the process stays until the open transaction has
/// ended, closes idle sessions and ends with success.
#[test]
fn stops_gracefully() {
    let (_platform, mut proxies) = start(2);
    let mut busy = Caller::connect(proxies[0].callers, "strict").expect("a session");
    assert!(busy.query("BEGIN").expect("an answer").is_complete());
    assert!(busy.query("WRITE a 1").expect("an answer").is_complete());
    proxies[0].signal(Signal::TERM);
    wait_until("the proxy is not ready", || !proxies[0].is_ready());
    assert!(busy.query("COMMIT").expect("an answer").is_complete());
    assert!(proxies[0].wait(), "the process ends with success");
    write_until_served(proxies[1].callers, "strict", "b");
}

/// Guards against a failed request whose cause cannot be found from its id in the logs alone.
#[test]
fn logs_explain_failed_requests() {
    let (platform, proxies) = start(1);
    let mut caller = Caller::connect(proxies[0].callers, "strict").expect("a session");
    platform.set_store_fault(StoreFault::Busy);
    let mut platform = platform;
    for index in 0..3 {
        platform.kill(index);
    }
    wait_until("a statement is refused", || {
        let Ok(mut other) = Caller::connect(proxies[0].callers, "strict") else { return false };
        other.query("READ 1").is_ok_and(|answer| answer.outcome == "BUSY")
    });
    let refused = caller.query("READ a").expect("an answer");
    assert_eq!(refused.outcome, "BUSY");
    assert_eq!(caller.query("COMMIT").expect("an answer").outcome, "MALFORMED");
    // A line follows its answer, by as much as the machine is busy.
    for reason in ["the primary is away", "cannot be served in this state"] {
        wait_until("the log gives the reason", || {
            proxies[0]
                .log()
                .lines()
                .any(|line| line.contains("\"request\":\"q") && line.contains(reason))
        });
    }
    assert!(proxies[0].log().contains("\"event\":\"primary_lost\""));
}
