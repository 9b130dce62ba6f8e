//! Use of connections by one proxy of a large fleet, which cannot keep one to every instance.

mod traffic_support;

use flamingorock_core::TransactionStatus::Idle;
use flamingorock_core::{Position, Term};
use flamingorock_pool::ErrorCode;
use flamingorock_pool::traffic::Event;
use traffic_support::{Harness, MILLISECOND_US, STALE_DB, STRICT_DB, bytes, position};

/// Number of proxies that share 16 connections to each instance.
const PROXIES: u32 = 117;
const PERMIT_US: u64 = 3_600_000 * MILLISECOND_US;

fn replica_connects(harness: &Harness) -> usize {
    let is_replica_connect =
        |line: &&str| line.ends_with("b <- connect") || line.ends_with("c <- connect");
    harness.transcript.lines().filter(is_replica_connect).count()
}

/// Starts the connections that a statement waits for, and returns the instance that runs it.
fn start(harness: &mut Harness, round: u64, replica_position: Position) -> &'static str {
    for _ in 0..4 {
        if let Some(instance) = ["a", "b", "c"].into_iter().find(|id| harness.runs_statement_on(id))
        {
            return instance;
        }
        harness.connect_new_at(|instance| match instance {
            "a" => position(1, 10 + round),
            _ => replica_position,
        });
    }
    panic!("not sent:\n{}", harness.transcript);
}

/// Delivers the position that the primary had a moment ago, from another proxy.
fn share_position(harness: &mut Harness, round: u64) {
    harness.machine.push(Event::PrimaryPosition {
        replica_set: bytes("set"),
        term: Term(1),
        at_us: harness.now_us - 300 * MILLISECOND_US,
        position: position(1, 10 + round),
    });
}

fn complete(harness: &mut Harness, instance: &str, round: u64) {
    harness.complete(instance, Idle, position(1, 10 + round));
}

/// Guards against a read that opens a connection to one replica although another one is connected
/// and idle: a fleet of 117 proxies opened three connections for four requests.
#[test]
fn reads_stay_on_the_replica_that_is_connected() {
    let mut harness = Harness::in_fleet("proxy", PROXIES, PERMIT_US);
    let session = harness.open_session(STALE_DB);
    for round in 0..20 {
        harness.advance(100 * MILLISECOND_US);
        harness.answer_probes(position(1, 10 + round));
        share_position(&mut harness, round);
        harness.query(session, "READ 1");
        let instance = start(&mut harness, round, position(1, 10 + round));
        // Slower than the other replica is assumed to be.
        harness.advance(6 * MILLISECOND_US);
        complete(&mut harness, instance, round);
    }
    assert!(replica_connects(&harness) <= 1, "{}", harness.transcript);
}

/// Guards against a proxy that sends all its reads to the primary because it has no connection to a
/// replica, and so never learns that the replicas are fresh: in a fleet of 117 proxies most have
/// none.
#[test]
fn unconnected_replicas_are_used() {
    let mut harness = Harness::in_fleet("proxy", PROXIES, PERMIT_US);
    let session = harness.open_session(STALE_DB);
    let mut on_primary = 0;
    for round in 0..20 {
        harness.advance(100 * MILLISECOND_US);
        share_position(&mut harness, round);
        harness.query(session, "READ 1");
        let instance = start(&mut harness, round, position(1, 10 + round));
        on_primary += usize::from(instance == "a");
        complete(&mut harness, instance, round);
    }
    assert_eq!(on_primary, 0, "{}", harness.transcript);
}

/// Guards against reads that bounce off replicas that lag, and against a connection that is opened
/// to each of them again and again: once they are known to lag, the primary serves the reads until
/// they are asked again two seconds later.
#[test]
fn unconnected_replicas_that_lag_are_asked_again_later() {
    let mut harness = Harness::in_fleet("proxy", PROXIES, PERMIT_US);
    let session = harness.open_session(STALE_DB);
    let mut refused = 0;
    for round in 0..40 {
        harness.advance(100 * MILLISECOND_US);
        harness.answer_probes(position(1, 1));
        share_position(&mut harness, round);
        harness.query(session, "READ 1");
        let mut instance = start(&mut harness, round, position(1, 1));
        while instance != "a" {
            harness.fail(instance, ErrorCode::Lagging, Idle, position(1, 1));
            refused += 1;
            instance = start(&mut harness, round, position(1, 1));
        }
        complete(&mut harness, instance, round);
    }
    assert!(refused <= 4, "{refused} refused:\n{}", harness.transcript);
    assert!((2..=6).contains(&replica_connects(&harness)), "{}", harness.transcript);
}

/// Guards against proxies that all send their reads to the same one of several idle replicas.
#[test]
fn proxies_spread_their_reads_over_the_replicas() {
    let mut reads = [0, 0];
    for index in 0..60 {
        let mut harness = Harness::in_fleet(&format!("proxy-{index}"), PROXIES, PERMIT_US);
        let session = harness.open_session(STALE_DB);
        harness.advance(1_500 * MILLISECOND_US);
        share_position(&mut harness, 0);
        harness.query(session, "READ 1");
        match start(&mut harness, 0, position(1, 10)) {
            "b" => reads[0] += 1,
            "c" => reads[1] += 1,
            instance => panic!("read at {instance}"),
        }
    }
    assert!(reads.iter().all(|count| (18..=42).contains(count)), "{reads:?}");
}

/// Guards against proxies that hold the few places that the dead leave them after a power loss: 57
/// places, each held for a second, do not serve 117 proxies.
#[test]
fn connections_are_released_early_after_a_start() {
    let mut closed = Vec::new();
    for uptime_us in [0, 5_000 * MILLISECOND_US] {
        let mut harness = Harness::with_uptime(uptime_us, "proxy", PROXIES, PERMIT_US);
        let session = harness.open_session(STRICT_DB);
        harness.query(session, "READ 1");
        let instance = start(&mut harness, 0, position(1, 10));
        complete(&mut harness, instance, 0);
        harness.advance(100 * MILLISECOND_US);
        harness.advance(100 * MILLISECOND_US);
        closed.push((uptime_us, harness.transcript.contains("a <- close")));
    }
    assert_eq!(closed, [(0, true), (5_000 * MILLISECOND_US, false)]);
}

/// Guards against a read that takes a place at the primary only to learn its position, although
/// another proxy shares that a moment later.
#[test]
fn read_waits_a_moment_for_the_position_of_the_primary() {
    let mut harness = Harness::in_fleet("proxy", PROXIES, PERMIT_US);
    let session = harness.open_session(STALE_DB);
    harness.advance(2_000 * MILLISECOND_US);
    harness.query(session, "READ 1");
    harness.advance(30 * MILLISECOND_US);
    assert!(!harness.transcript.contains("a <- connect"), "{}", harness.transcript);
    share_position(&mut harness, 0);
    harness.advance(MILLISECOND_US);
    assert_ne!(start(&mut harness, 0, position(1, 10)), "a", "{}", harness.transcript);

    let late = harness.open_session(STALE_DB);
    harness.advance(2_000 * MILLISECOND_US);
    harness.query(late, "READ 1");
    harness.advance(60 * MILLISECOND_US);
    assert!(harness.transcript.contains("a <- connect"), "{}", harness.transcript);
}
