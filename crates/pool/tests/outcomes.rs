//! Every end of a request against the code that is true for it.

mod traffic_support;

use flamingorock_core::TransactionStatus::{Failed, Idle, Open};
use flamingorock_pool::ErrorCode;
use traffic_support::{
    Harness, MILLISECOND_US, OWN_WRITES_DB, STALE_DB, STRICT_DB, position, replacing,
};

/// Guards against a write whose answer was lost being called "not run" or run twice.
#[test]
fn write_on_a_lost_connection_is_in_doubt() {
    let mut harness = Harness::new();
    let session = harness.open_session(STRICT_DB);
    harness.query(session, "WRITE 1 x");
    let connection = harness.busy_connection("a");
    harness.lose_connection(connection);
    insta::assert_snapshot!(harness.replies());
}

/// Guards against a read that fails although another connection would serve it.
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

/// Guards against a transaction that goes on elsewhere after its connection is gone.
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

/// Guards against a commit being promised as not run although its answer was only lost.
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

/// Guards against a commit of reads alone being in doubt: nothing can be kept of it.
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

/// Guards against a rollback that fails although the close of the connection has rolled back.
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

/// Guards against a commit after a failed statement being taken for a success.
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

/// Guards against a request that ran being called "not run" at its timeout, and against one that did
/// not run being called anything else.
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

/// Guards against an answer of a primary that was replaced while the statement ran: a write is in
/// doubt, a read is sent to the next primary.
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

/// Guards against an acknowledgement after the permit has expired, when another proxy may have
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

/// Guards against a read that goes from one replica that is behind to the other and back.
#[test]
fn read_rejected_by_a_lagging_replica_goes_to_the_primary() {
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

/// Guards against a stale read at a replica that lacks the session's own commit.
#[test]
fn own_commit_is_required_of_a_replica() {
    let mut harness = Harness::new();
    let session = harness.open_session(OWN_WRITES_DB);
    harness.query(session, "WRITE 1 x");
    harness.complete("a", Idle, position(1, 11));
    harness.query(session, "READ 1");
    // Right after the write no replica can be expected to have it.
    assert!(harness.runs_statement_on("a"), "{}", harness.transcript);
    harness.complete("a", Idle, position(1, 11));
    harness.advance(400 * MILLISECOND_US);
    harness.answer_probes(position(1, 11));
    harness.advance(MILLISECOND_US);
    harness.query(session, "READ 2");
    insta::assert_snapshot!(harness.transcript);
}

/// Guards against a bounded read without a required position: the replica could be older than the
/// rule allows.
#[test]
fn bounded_read_requires_a_recent_position() {
    let mut harness = Harness::new();
    let session = harness.open_session(STALE_DB);
    harness.query(session, "READ 1");
    insta::assert_snapshot!(harness.transcript);
}

/// Guards against session values of one caller that reach another one over a pooled connection, and
/// against prepared names that collide.
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

/// Guards against a caller that leaves in mid-transaction and whose work another one would continue.
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

/// Guards against a transaction that keeps a connection for ever while its caller rests.
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

/// Guards against a begin that holds a connection during the caller's pause.
#[test]
fn begin_takes_no_connection() {
    let mut harness = Harness::new();
    let session = harness.open_session(STRICT_DB);
    harness.query(session, "BEGIN");
    assert!(!harness.runs_statement_on("a"));
    harness.query(session, "ROLLBACK");
    insta::assert_snapshot!(harness.replies());
}
