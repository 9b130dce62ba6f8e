//! Queueing, refusal and placement of statements under high load and after failures.

mod traffic_support;

use std::sync::Arc;

use flamingorock_core::TransactionStatus::{Idle, Open};
use flamingorock_pool::ErrorCode;
use flamingorock_pool::traffic::Event;
use traffic_support::{
    Harness, MILLISECOND_US, OWN_WRITES_DB, STALE_DB, STRICT_DB, bytes, configuration, position,
    replacing, serving,
};

/// An urgent statement must not wait behind less urgent ones that are queued for the primary.
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

/// If the next primary will not serve before a statement's timeout, the statement must be refused
/// at once, with the time until then, and not be queued until its timeout.
#[test]
fn statement_is_refused_at_once_if_the_primary_returns_too_late() {
    let mut harness = Harness::new();
    let expected_us = harness.now_us + 1_200 * MILLISECOND_US;
    harness.publish(replacing(false, expected_us));
    let session = harness.open_session(STRICT_DB);
    harness.query(session, "READ 1");
    insta::assert_snapshot!(harness.replies());
}

/// A statement that the next primary can serve before the timeout must be queued, not refused.
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

/// A proxy that is cut off from the others must close idle sessions, so that their callers reach
/// another proxy. One such proxy refused two thousand statements of callers that kept their
/// sessions.
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

/// An instance that has reached its connection limit resets new connections, for example after a
/// power failure of all proxies. The primary must not be reported as unreachable because of this.
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

/// A stale read must not wait for replicas that lag too far behind while the primary is free.
#[test]
fn stale_read_uses_the_primary_if_replicas_are_behind() {
    let mut harness = Harness::new();
    // The primary's log advances; the replicas' logs do not.
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

/// A new configuration must apply to requests that are already queued.
#[test]
fn queued_request_follows_a_new_configuration() {
    let mut harness = Harness::new();
    let expected_us = harness.now_us + 300 * MILLISECOND_US;
    harness.publish(replacing(false, expected_us));
    let session = harness.open_session(STRICT_DB);
    harness.query(session, "READ 1");
    let mut next = configuration(2);
    next.databases.retain(|database| database.name != bytes(STRICT_DB));
    harness.publish_with(replacing(false, expected_us), Arc::new(next));
    insta::assert_snapshot!(harness.replies());
}

/// An instance without capacity must not be sent statements at once again, which it would only
/// refuse.
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

/// The idle connections of all proxies must not fill an instance's connection limit. After a power
/// failure the instance counts the dead connections for three seconds, and restarted proxies could
/// not connect (scenario trouble-1 of jfc-mobile-grown: 37 proxies, limit of 46 connections).
#[test]
fn idle_proxies_use_at_most_half_of_a_scarce_connection_limit() {
    const PROXIES: u32 = 37;
    const CONNECTION_LIMIT: u32 = 46;
    let mut config = configuration(1);
    config.replica_sets[0].connections_limit = CONNECTION_LIMIT;
    let config = Arc::new(config);
    let mut open_counts = [0; 3];
    for index in 0..PROXIES {
        let name = format!("edge-{}-{index}", ["curepipe", "mahebourg"][index as usize % 2]);
        let mut harness = Harness::in_fleet(&name, PROXIES, 3_600_000 * MILLISECOND_US);
        harness.publish_with(serving("a", 1), Arc::clone(&config));
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

/// Proxies that restart first after a power failure must not use up the connections that the dead
/// hosts leave within the limit. The other proxies could not connect for three seconds (scenario
/// trouble-1 of jfc-mobile, 35.4 s to 37 s).
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

/// A proxy must not be limited to one connection after its start if the connection limit is high.
/// It could not keep up with its load (scenario trouble-2 of armut-mahzen: ten connections for each
/// of five proxies).
#[test]
fn starting_proxy_uses_a_third_of_its_connection_share() {
    let mut harness = Harness::with_uptime(0, "proxy", 5, 3_600_000 * MILLISECOND_US);
    let mut config = configuration(1);
    config.replica_sets[0].connections_limit = 50;
    harness.publish_with(serving("a", 1), Arc::new(config));
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

/// A statement must be refused at once if the queue ahead of it takes longer than its timeout. Such
/// statements used to wait for their timeout first (inc-8b76 on jfc-mobile: 464 refusals after the
/// timeout).
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
