//! The error codes with which requests end. Each must tell truthfully whether the request took
//! effect.

mod traffic_support;

use flamingorock_core::TransactionStatus::{Failed, Idle, Open};
use flamingorock_pool::ErrorCode;
use traffic_support::{
    Harness, MILLISECOND_US, OWN_WRITES_DB, STALE_DB, STRICT_DB, position, replacing,
};

/// A write whose response was lost must neither be reported as not run nor be run again.
#[test]
fn write_on_a_lost_connection_is_in_doubt() {
    let mut harness = Harness::new();
    let session = harness.open_session(STRICT_DB);
    harness.query(session, "WRITE 1 x");
    let connection = harness.busy_connection("a");
    harness.lose_connection(connection);
    insta::assert_snapshot!(harness.replies());
}

/// A read must be sent again on another connection if its connection is lost.
#[test]
fn read_on_a_lost_connection_is_sent_again() {
    let mut harness = Harness::new();
    let session = harness.open_session(STRICT_DB);
    harness.query(session, "READ 1");
    let connection = harness.busy_connection("a");
    harness.lose_connection(connection);
    harness.connect_all(position(1, 10));
    harness.complete("a", Idle, position(1, 10));
    insta::assert_snapshot!(harness.transcript);
}

/// A transaction must not continue on another connection after its own was lost.
#[test]
fn transaction_on_a_lost_connection_is_aborted() {
    let mut harness = Harness::new();
    let session = harness.open_session(STRICT_DB);
    harness.query(session, "BEGIN");
    harness.query(session, "READ 1");
    harness.complete("a", Open, position(1, 10));
    harness.complete("a", Open, position(1, 10));
    let connection = harness.connections.iter().find(|row| row.instance == "a").map(|row| row.key);
    harness.lose_connection(connection.expect("the transaction's connection"));
    harness.query(session, "READ 2");
    harness.query(session, "READ 3");
    harness.query(session, "ROLLBACK");
    insta::assert_snapshot!(harness.replies());
}

/// A commit whose response was lost may have taken effect, so it must not be reported as aborted.
#[test]
fn commit_of_a_write_on_a_lost_connection_is_in_doubt() {
    let mut harness = Harness::new();
    let session = harness.open_session(STRICT_DB);
    harness.query(session, "BEGIN");
    harness.query(session, "WRITE 1 x");
    harness.complete("a", Open, position(1, 10));
    harness.complete("a", Open, position(1, 10));
    harness.query(session, "COMMIT");
    let connection = harness.busy_connection("a");
    harness.lose_connection(connection);
    insta::assert_snapshot!(harness.replies());
}

/// A commit of a transaction without writes must not be reported as in doubt, because it has no
/// effect.
#[test]
fn commit_of_reads_on_a_lost_connection_is_aborted() {
    let mut harness = Harness::new();
    let session = harness.open_session(STRICT_DB);
    harness.query(session, "BEGIN");
    harness.query(session, "READ 1");
    harness.complete("a", Open, position(1, 10));
    harness.complete("a", Open, position(1, 10));
    harness.query(session, "COMMIT");
    let connection = harness.busy_connection("a");
    harness.lose_connection(connection);
    insta::assert_snapshot!(harness.replies());
}

/// A rollback must succeed if its connection is lost, because the instance then rolls back.
#[test]
fn rollback_on_a_lost_connection_succeeds() {
    let mut harness = Harness::new();
    let session = harness.open_session(STRICT_DB);
    harness.query(session, "BEGIN");
    harness.query(session, "WRITE 1 x");
    harness.complete("a", Open, position(1, 10));
    harness.complete("a", Open, position(1, 10));
    harness.query(session, "ROLLBACK");
    let connection = harness.busy_connection("a");
    harness.lose_connection(connection);
    insta::assert_snapshot!(harness.replies());
}

/// A commit must not succeed in a transaction in which a statement failed.
#[test]
fn commit_of_a_failed_transaction_is_refused() {
    let mut harness = Harness::new();
    let session = harness.open_session(STRICT_DB);
    harness.query(session, "BEGIN");
    harness.query(session, "READ 1");
    harness.complete("a", Open, position(1, 10));
    harness.fail("a", ErrorCode::Failed, Failed, position(1, 10));
    harness.query(session, "READ 2");
    harness.query(session, "COMMIT");
    insta::assert_snapshot!(harness.transcript);
}

/// At its timeout a statement that was sent must not be reported as not run, and one that was not
/// sent must be.
#[test]
fn timeouts_tell_whether_the_statement_ran() {
    let mut harness = Harness::new();
    let running = harness.open_session(STRICT_DB);
    harness.query(running, "WRITE 1 x");
    let second = harness.open_session(STRICT_DB);
    harness.query(second, "WRITE 2 x");
    let waiting = harness.open_session(STRICT_DB);
    harness.query(waiting, "WRITE 3 x");
    harness.advance(800 * MILLISECOND_US);
    insta::assert_snapshot!(harness.replies());
}

/// The result of a primary that is replaced while the statement runs must not be passed on: a write
/// is in doubt, and a read is sent to the next primary.
#[test]
fn answers_of_a_replaced_primary_are_not_passed_on() {
    let mut harness = Harness::new();
    let writer = harness.open_session(STRICT_DB);
    harness.query(writer, "WRITE 1 x");
    let reader = harness.open_session(STRICT_DB);
    harness.query(reader, "READ 1");
    harness.advance(MILLISECOND_US);
    harness.connect_all(position(1, 10));
    let expected_us = harness.now_us + 300 * MILLISECOND_US;
    harness.publish(replacing(false, expected_us));
    harness.advance(300 * MILLISECOND_US);
    harness.publish(traffic_support::serving("b", 2));
    insta::assert_snapshot!(harness.transcript);
}

/// A write must not be acknowledged after the permit has expired, because another proxy may have
/// replaced the primary.
#[test]
fn write_is_in_doubt_if_the_permit_has_expired() {
    let mut harness = Harness::with_permit(200 * MILLISECOND_US);
    let session = harness.open_session(STRICT_DB);
    harness.query(session, "WRITE 1 x");
    harness.now_us += 250 * MILLISECOND_US;
    harness.complete("a", Idle, position(1, 11));
    insta::assert_snapshot!(harness.replies());
}

/// A read that a lagging replica refused must go to the primary, not from one lagging replica to
/// the other and back.
#[test]
fn read_refused_by_a_lagging_replica_goes_to_the_primary() {
    let mut harness = Harness::new();
    let session = harness.open_session(OWN_WRITES_DB);
    harness.query(session, "WRITE 1 x");
    harness.complete("a", Idle, position(1, 11));
    harness.advance(40 * MILLISECOND_US);
    harness.query(session, "READ 1");
    let first = if harness.runs_statement_on("b") { "b" } else { "c" };
    if harness.runs_statement_on(first) {
        harness.fail(first, ErrorCode::Lagging, Idle, position(1, 10));
    }
    assert!(harness.runs_statement_on("a"), "{}", harness.transcript);
}

/// A session's read must not be served by a replica that lacks the session's own commit.
#[test]
fn own_commit_is_required_of_a_replica() {
    let mut harness = Harness::new();
    let session = harness.open_session(OWN_WRITES_DB);
    harness.query(session, "WRITE 1 x");
    harness.complete("a", Idle, position(1, 11));
    harness.query(session, "READ 1");
    // No replica is expected to have the write immediately after it.
    assert!(harness.runs_statement_on("a"), "{}", harness.transcript);
    harness.complete("a", Idle, position(1, 11));
    harness.advance(400 * MILLISECOND_US);
    harness.answer_probes(position(1, 11));
    harness.advance(MILLISECOND_US);
    harness.query(session, "READ 2");
    insta::assert_snapshot!(harness.transcript);
}

/// A read with bounded staleness must require a log position, because a replica may lag by more
/// than the bound.
#[test]
fn bounded_read_requires_a_recent_position() {
    let mut harness = Harness::new();
    let session = harness.open_session(STALE_DB);
    harness.query(session, "READ 1");
    insta::assert_snapshot!(harness.transcript);
}

/// Session variables must not leak to another caller through a pooled connection, and the prepared
/// statements of two sessions must not be confused if they have the same name.
#[test]
fn session_variables_and_prepared_names_are_isolated() {
    let mut harness = Harness::new();
    let first = harness.open_session(STRICT_DB);
    harness.query(first, "SET colour red");
    harness.query(first, "PREPARE s READ one");
    harness.query(first, "EXECUTE s 1");
    harness.complete("a", Idle, position(1, 10));
    harness.complete("a", Idle, position(1, 10));
    harness.complete("a", Idle, position(1, 10));
    let second = harness.open_session(STRICT_DB);
    harness.query(second, "PREPARE s READ two");
    harness.query(second, "EXECUTE s 1");
    harness.answer_probes(position(1, 10));
    insta::assert_snapshot!(harness.transcript);
}

/// If a caller disconnects during a transaction, the transaction must be rolled back, so that no
/// other caller continues it.
#[test]
fn transaction_of_a_caller_that_left_is_rolled_back() {
    let mut harness = Harness::new();
    let session = harness.open_session(STRICT_DB);
    harness.query(session, "BEGIN");
    harness.query(session, "WRITE 1 x");
    harness.complete("a", Open, position(1, 10));
    harness.complete("a", Open, position(1, 10));
    harness.machine.push(flamingorock_pool::traffic::Event::SessionClosed { session });
    harness.tick();
    insta::assert_snapshot!(harness.transcript);
}

/// A transaction must not occupy a connection indefinitely while its caller is idle.
#[test]
fn idle_transaction_is_rolled_back() {
    let mut harness = Harness::new();
    let session = harness.open_session(STRICT_DB);
    harness.query(session, "BEGIN");
    harness.query(session, "WRITE 1 x");
    harness.complete("a", Open, position(1, 10));
    harness.complete("a", Open, position(1, 10));
    for _ in 0..31 {
        harness.advance(100 * MILLISECOND_US);
        harness.answer_probes(position(1, 10));
    }
    harness.query(session, "COMMIT");
    insta::assert_snapshot!(harness.replies());
}

/// A transaction must not occupy a connection between its begin and its first statement.
#[test]
fn begin_takes_no_connection() {
    let mut harness = Harness::new();
    let session = harness.open_session(STRICT_DB);
    harness.query(session, "BEGIN");
    assert!(!harness.runs_statement_on("a"));
    harness.query(session, "ROLLBACK");
    insta::assert_snapshot!(harness.replies());
}
