//! How work waits, is refused and is placed at the worst load.

mod traffic_support;

use std::sync::Arc;

use flamingorock_core::TransactionStatus::{Idle, Open};
use flamingorock_pool::ErrorCode;
use flamingorock_pool::traffic::Event;
use traffic_support::{
    Harness, MILLISECOND_US, OWN_WRITES_DB, STALE_DB, STRICT_DB, bytes, configuration, position,
    replacing, serving,
};

/// Guards against urgent work that waits behind a flood of less urgent work at the primary.
#[test]
fn urgent_statement_overtakes_queued_statements() {
    let mut harness = Harness::new();
    let less_urgent: Vec<_> = (0..20).map(|_| harness.open_session(OWN_WRITES_DB)).collect();
    for session in &less_urgent {
        harness.query(*session, "WRITE 1 x");
    }
    let urgent = harness.open_session(STRICT_DB);
    harness.query(urgent, "WRITE 2 x");
    harness.connect_all(position(1, 10));
    harness.complete("a", Idle, position(1, 11));
    let sent: Vec<_> =
        harness.transcript.lines().filter(|line| line.contains("a <- Forward")).collect();
    assert_eq!(sent.len(), 2, "{}", harness.transcript);
    assert!(sent[1].contains("WRITE 2"), "{}", harness.transcript);
}

/// Guards against a statement that is held until its timeout although the primary will not be back by
/// then: it is refused at once, with the time of the return.
#[test]
fn statement_is_refused_at_once_if_the_primary_returns_too_late() {
    let mut harness = Harness::new();
    let expected_us = harness.now_us + 1_200 * MILLISECOND_US;
    harness.publish(replacing(false, expected_us));
    let session = harness.open_session(STRICT_DB);
    harness.query(session, "READ 1");
    insta::assert_snapshot!(harness.replies());
}

/// Guards against a refusal of what the next primary can still serve in time.
#[test]
fn statement_waits_for_a_primary_that_returns_in_time() {
    let mut harness = Harness::new();
    let expected_us = harness.now_us + 300 * MILLISECOND_US;
    harness.publish(replacing(false, expected_us));
    let session = harness.open_session(STRICT_DB);
    harness.query(session, "READ 1");
    harness.advance(300 * MILLISECOND_US);
    harness.answer_probes(position(1, 10));
    harness.publish(serving("b", 2));
    assert!(harness.runs_statement_on("b"), "{}", harness.transcript);
}

/// Guards against two thousand refusals at a proxy that is cut off with its callers: sessions between
/// operations are closed, so that their callers reach another proxy.
#[test]
fn isolated_proxy_closes_idle_sessions() {
    let mut harness = Harness::with_permit(200 * MILLISECOND_US);
    let idle = harness.open_session(STRICT_DB);
    let _ = idle;
    let busy = harness.open_session(STRICT_DB);
    harness.query(busy, "BEGIN");
    harness.advance(250 * MILLISECOND_US);
    harness.open_session(STRICT_DB);
    insta::assert_snapshot!(harness.replies());
}

/// Guards against the loss of an instance being concluded from a connection that it reset because it
/// has no place for it, as after a loss of power of all proxies.
#[test]
fn reset_during_startup_does_not_report_the_primary_unreachable() {
    let mut harness = Harness::new();
    let connection = harness.connections.iter().find(|row| row.instance == "a").map(|row| row.key);
    harness.lose_connection(connection.expect("a connection of a"));
    let opened = harness.connections.iter().find(|row| row.instance == "a").map(|row| row.key);
    let connection = opened.expect("a new connection of a");
    harness.machine.push(Event::Connected { connection });
    harness.tick();
    harness.lose_connection(connection);
    harness.reports.retain(|report| {
        matches!(report, flamingorock_pool::traffic::Report::PrimaryUnreachable { .. })
    });
    assert_eq!(harness.reports, []);
}

/// Guards against reads that wait for replicas that are far behind while the primary is free.
#[test]
fn stale_read_uses_the_primary_if_replicas_are_behind() {
    let mut harness = Harness::new();
    // The primary's log moves on, the replicas' logs do not.
    let writer = harness.open_session(STRICT_DB);
    for number in 11..31 {
        harness.query(writer, "WRITE 1 x");
        harness.complete("a", Idle, position(1, number));
        harness.advance(100 * MILLISECOND_US);
        harness.answer_probes(position(1, 10));
    }
    let session = harness.open_session(STALE_DB);
    harness.query(session, "READ 1");
    assert!(harness.runs_statement_on("a"), "{}", harness.transcript);
}

/// Guards against a configuration that does not reach a request in the queue.
#[test]
fn queued_request_follows_a_new_configuration() {
    let mut harness = Harness::new();
    let expected_us = harness.now_us + 300 * MILLISECOND_US;
    harness.publish(replacing(false, expected_us));
    let session = harness.open_session(STRICT_DB);
    harness.query(session, "READ 1");
    let mut next = configuration(2);
    next.databases.retain(|rule| rule.name != bytes(STRICT_DB));
    harness.publish_with(replacing(false, expected_us), Arc::new(next));
    insta::assert_snapshot!(harness.replies());
}

/// Guards against a flood of the same refusal: an instance without room is left alone for a moment.
#[test]
fn busy_instance_is_retried_after_a_backoff() {
    let mut harness = Harness::new();
    let session = harness.open_session(STRICT_DB);
    harness.query(session, "WRITE 1 x");
    harness.fail("a", ErrorCode::Busy, Idle, position(1, 10));
    assert!(!harness.runs_statement_on("a"), "{}", harness.transcript);
    harness.advance(20 * MILLISECOND_US);
    assert!(harness.runs_statement_on("a"), "{}", harness.transcript);
}

/// Guards against a fleet whose idle connections fill an instance: after a loss of power the dead ones
/// count for three seconds, and the proxies that are back find no place (trouble-1 of
/// jfc-mobile-grown: 37 proxies, 46 places).
#[test]
fn idle_proxies_use_at_most_half_of_a_scarce_connection_limit() {
    const PROXIES: u32 = 37;
    const CONNECTION_LIMIT: u32 = 46;
    let mut rules = configuration(1);
    rules.replica_sets[0].connections_limit = CONNECTION_LIMIT;
    let rules = Arc::new(rules);
    let mut open_counts = [0; 3];
    for index in 0..PROXIES {
        let name = format!("edge-{}-{index}", ["curepipe", "mahebourg"][index as usize % 2]);
        let mut harness = Harness::in_fleet(&name, PROXIES, 3_600_000 * MILLISECOND_US);
        harness.publish_with(serving("a", 1), Arc::clone(&rules));
        for _ in 0..50 {
            harness.advance(100 * MILLISECOND_US);
            harness.connect_new(position(1, 10));
            harness.answer_probes(position(1, 10));
        }
        for (count, instance) in open_counts.iter_mut().zip(["a", "b", "c"]) {
            *count += harness.connections.iter().filter(|row| row.instance == instance).count();
        }
    }
    assert!(
        open_counts.iter().all(|count| *count <= CONNECTION_LIMIT as usize / 2),
        "{open_counts:?}"
    );
    assert!(open_counts.iter().all(|count| *count > 0), "{open_counts:?}");
}

/// Guards against proxies that start first after a loss of power and take the places that the dead have
/// left, so that the others find none for three seconds (trouble-1 of jfc-mobile, 35.4 s to 37 s).
#[test]
fn starting_proxy_opens_one_connection_if_the_limit_is_low() {
    let mut harness = Harness::with_uptime(0, "proxy", 5, 3_600_000 * MILLISECOND_US);
    let sessions: Vec<_> = (0..8).map(|_| harness.open_session(STRICT_DB)).collect();
    for session in &sessions {
        harness.query(*session, "WRITE 1 x");
    }
    let count_connections =
        |harness: &Harness| harness.connections.iter().filter(|row| row.instance == "a").count();
    assert_eq!(count_connections(&harness), 1, "{}", harness.transcript);
    harness.advance(3_000 * MILLISECOND_US);
    harness.connect_new(position(1, 10));
    for _ in 0..2 {
        let session = harness.open_session(STRICT_DB);
        harness.query(session, "WRITE 1 x");
    }
    assert!(count_connections(&harness) > 1, "{}", harness.transcript);
}

/// Guards against a proxy that starves at one connection after its start although an instance has places
/// for many (trouble-2 of armut-mahzen: ten for each of five proxies).
#[test]
fn starting_proxy_uses_a_third_of_its_connection_share() {
    let mut harness = Harness::with_uptime(0, "proxy", 5, 3_600_000 * MILLISECOND_US);
    let mut rules = configuration(1);
    rules.replica_sets[0].connections_limit = 50;
    harness.publish_with(serving("a", 1), Arc::new(rules));
    for _ in 0..8 {
        let session = harness.open_session(STRICT_DB);
        harness.query(session, "BEGIN");
        harness.query(session, "WRITE 1 x");
        harness.connect_new(position(1, 10));
        while harness.runs_statement_on("a") {
            harness.complete("a", Open, position(1, 10));
        }
    }
    let connections = harness.connections.iter().filter(|row| row.instance == "a").count();
    assert_eq!(connections, 3, "{}", harness.transcript);
}

/// Guards against statements that wait for their timeout behind a queue that is longer than it (inc-8b76
/// on jfc-mobile: 464 refusals after their timeouts).
#[test]
fn statement_is_refused_at_once_if_the_queue_exceeds_its_timeout() {
    const RESPONSE_TIME_MS: u64 = 100;
    let mut harness = Harness::new();
    let first = harness.open_session(OWN_WRITES_DB);
    for number in 0..5 {
        harness.query(first, "WRITE 1 x");
        harness.advance(RESPONSE_TIME_MS * MILLISECOND_US);
        harness.answer_probes(position(1, 10));
        harness.complete("a", Idle, position(1, 11 + number));
    }
    harness.transcript.clear();
    for _ in 0..12 {
        let session = harness.open_session(OWN_WRITES_DB);
        harness.query(session, "WRITE 1 x");
    }
    insta::assert_snapshot!(harness.replies());
}
