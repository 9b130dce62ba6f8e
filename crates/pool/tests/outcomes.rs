//! Every end of a request against the code that is true for it.

mod traffic_support;

use flamingorock_core::TransactionStatus::{Failed, Idle, Open};
use flamingorock_pool::ErrorCode;
use traffic_support::{MILLISECOND_US, OWN, STALE, STRICT, World, held, position};

/// Guards against a write whose answer was lost being called "not run" or run twice.
#[test]
fn write_on_a_lost_connection_is_in_doubt() {
    let mut world = World::new();
    let session = world.session(STRICT);
    world.query(session, "WRITE 1 x");
    let connection = world.busy("a");
    world.lose(connection);
    insta::assert_snapshot!(world.replies());
}

/// Guards against a read that fails although another connection would serve it.
#[test]
fn read_on_a_lost_connection_is_sent_again() {
    let mut world = World::new();
    let session = world.session(STRICT);
    world.query(session, "READ 1");
    let connection = world.busy("a");
    world.lose(connection);
    world.connect_all(position(1, 10));
    world.complete("a", Idle, position(1, 10));
    insta::assert_snapshot!(world.transcript);
}

/// Guards against a transaction that goes on elsewhere after its connection is gone.
#[test]
fn transaction_on_a_lost_connection_is_aborted() {
    let mut world = World::new();
    let session = world.session(STRICT);
    world.query(session, "BEGIN");
    world.query(session, "READ 1");
    world.complete("a", Open, position(1, 10));
    world.complete("a", Open, position(1, 10));
    let connection = world.opened.iter().find(|row| row.instance == "a").map(|row| row.key);
    world.lose(connection.expect("the transaction's connection"));
    world.query(session, "READ 2");
    world.query(session, "READ 3");
    world.query(session, "ROLLBACK");
    insta::assert_snapshot!(world.replies());
}

/// Guards against a commit being promised as not run although its answer was only lost.
#[test]
fn commit_of_a_write_on_a_lost_connection_is_in_doubt() {
    let mut world = World::new();
    let session = world.session(STRICT);
    world.query(session, "BEGIN");
    world.query(session, "WRITE 1 x");
    world.complete("a", Open, position(1, 10));
    world.complete("a", Open, position(1, 10));
    world.query(session, "COMMIT");
    let connection = world.busy("a");
    world.lose(connection);
    insta::assert_snapshot!(world.replies());
}

/// Guards against a commit of reads alone being in doubt: nothing can be kept of it.
#[test]
fn commit_of_reads_on_a_lost_connection_is_aborted() {
    let mut world = World::new();
    let session = world.session(STRICT);
    world.query(session, "BEGIN");
    world.query(session, "READ 1");
    world.complete("a", Open, position(1, 10));
    world.complete("a", Open, position(1, 10));
    world.query(session, "COMMIT");
    let connection = world.busy("a");
    world.lose(connection);
    insta::assert_snapshot!(world.replies());
}

/// Guards against a rollback that fails although the close of the connection has rolled back.
#[test]
fn rollback_on_a_lost_connection_succeeds() {
    let mut world = World::new();
    let session = world.session(STRICT);
    world.query(session, "BEGIN");
    world.query(session, "WRITE 1 x");
    world.complete("a", Open, position(1, 10));
    world.complete("a", Open, position(1, 10));
    world.query(session, "ROLLBACK");
    let connection = world.busy("a");
    world.lose(connection);
    insta::assert_snapshot!(world.replies());
}

/// Guards against a commit after a failed statement being taken for a success.
#[test]
fn commit_of_a_failed_transaction_is_refused() {
    let mut world = World::new();
    let session = world.session(STRICT);
    world.query(session, "BEGIN");
    world.query(session, "READ 1");
    world.complete("a", Open, position(1, 10));
    world.fail("a", ErrorCode::Failed, Failed, position(1, 10));
    world.query(session, "READ 2");
    world.query(session, "COMMIT");
    insta::assert_snapshot!(world.transcript);
}

/// Guards against a request that ran being called "not run" at its timeout, and against one that did
/// not run being called anything else.
#[test]
fn timeouts_tell_whether_the_statement_ran() {
    let mut world = World::new();
    let running = world.session(STRICT);
    world.query(running, "WRITE 1 x");
    let second = world.session(STRICT);
    world.query(second, "WRITE 2 x");
    let waiting = world.session(STRICT);
    world.query(waiting, "WRITE 3 x");
    world.advance(800 * MILLISECOND_US);
    insta::assert_snapshot!(world.replies());
}

/// Guards against an answer of a primary that was replaced while the statement ran: a write is in
/// doubt, a read is sent to the next primary.
#[test]
fn answers_of_a_replaced_primary_are_not_passed_on() {
    let mut world = World::new();
    let writer = world.session(STRICT);
    world.query(writer, "WRITE 1 x");
    let reader = world.session(STRICT);
    world.query(reader, "READ 1");
    world.advance(MILLISECOND_US);
    world.connect_all(position(1, 10));
    let expected_us = world.now_us + 300 * MILLISECOND_US;
    world.publish(held(false, expected_us));
    world.advance(300 * MILLISECOND_US);
    world.publish(traffic_support::serving("b", 2));
    insta::assert_snapshot!(world.transcript);
}

/// Guards against an acknowledgement after the permit has expired, when another proxy may have
/// replaced the primary.
#[test]
fn write_is_in_doubt_if_the_permit_has_expired() {
    let mut world = World::expiring(200 * MILLISECOND_US);
    let session = world.session(STRICT);
    world.query(session, "WRITE 1 x");
    world.now_us += 250 * MILLISECOND_US;
    world.complete("a", Idle, position(1, 11));
    insta::assert_snapshot!(world.replies());
}

/// Guards against a read that goes from one replica that is behind to the other and back.
#[test]
fn lagging_read_goes_to_the_primary() {
    let mut world = World::new();
    let session = world.session(OWN);
    world.query(session, "WRITE 1 x");
    world.complete("a", Idle, position(1, 11));
    world.advance(40 * MILLISECOND_US);
    world.query(session, "READ 1");
    let first = if world.runs_at("b") { "b" } else { "c" };
    if world.runs_at(first) {
        world.fail(first, ErrorCode::Lagging, Idle, position(1, 10));
    }
    assert!(world.runs_at("a"), "{}", world.transcript);
}

/// Guards against a stale read at a replica that lacks the session's own commit.
#[test]
fn own_commit_is_required_of_a_replica() {
    let mut world = World::new();
    let session = world.session(OWN);
    world.query(session, "WRITE 1 x");
    world.complete("a", Idle, position(1, 11));
    world.query(session, "READ 1");
    // Right after the write no replica can be expected to have it.
    assert!(world.runs_at("a"), "{}", world.transcript);
    world.complete("a", Idle, position(1, 11));
    world.advance(400 * MILLISECOND_US);
    world.answer_probes(position(1, 11));
    world.advance(MILLISECOND_US);
    world.query(session, "READ 2");
    insta::assert_snapshot!(world.transcript);
}

/// Guards against a bounded read without a required position: the replica could be older than the
/// rule allows.
#[test]
fn bounded_read_requires_a_recent_position() {
    let mut world = World::new();
    let session = world.session(STALE);
    world.query(session, "READ 1");
    insta::assert_snapshot!(world.transcript);
}

/// Guards against session values of one caller that reach another one over a pooled connection, and
/// against prepared names that collide.
#[test]
fn session_values_and_prepared_names_do_not_mix() {
    let mut world = World::new();
    let first = world.session(STRICT);
    world.query(first, "SET colour red");
    world.query(first, "PREPARE s READ one");
    world.query(first, "EXECUTE s 1");
    world.complete("a", Idle, position(1, 10));
    world.complete("a", Idle, position(1, 10));
    world.complete("a", Idle, position(1, 10));
    let second = world.session(STRICT);
    world.query(second, "PREPARE s READ two");
    world.query(second, "EXECUTE s 1");
    world.answer_probes(position(1, 10));
    insta::assert_snapshot!(world.transcript);
}

/// Guards against a caller that leaves in mid-transaction and whose work another one would continue.
#[test]
fn transaction_of_a_caller_that_left_is_rolled_back() {
    let mut world = World::new();
    let session = world.session(STRICT);
    world.query(session, "BEGIN");
    world.query(session, "WRITE 1 x");
    world.complete("a", Open, position(1, 10));
    world.complete("a", Open, position(1, 10));
    world.machine.push(flamingorock_pool::traffic::Event::SessionClosed { session });
    world.tick();
    insta::assert_snapshot!(world.transcript);
}

/// Guards against a transaction that keeps a connection for ever while its caller rests.
#[test]
fn idle_transaction_is_rolled_back() {
    let mut world = World::new();
    let session = world.session(STRICT);
    world.query(session, "BEGIN");
    world.query(session, "WRITE 1 x");
    world.complete("a", Open, position(1, 10));
    world.complete("a", Open, position(1, 10));
    for _ in 0..31 {
        world.advance(100 * MILLISECOND_US);
        world.answer_probes(position(1, 10));
    }
    world.query(session, "COMMIT");
    insta::assert_snapshot!(world.replies());
}

/// Guards against a begin that holds a connection during the caller's pause.
#[test]
fn begin_takes_no_connection() {
    let mut world = World::new();
    let session = world.session(STRICT);
    world.query(session, "BEGIN");
    assert!(!world.runs_at("a"));
    world.query(session, "ROLLBACK");
    insta::assert_snapshot!(world.replies());
}
