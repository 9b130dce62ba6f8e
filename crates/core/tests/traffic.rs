//! The path of a request through the traffic machine, with a fixed view and scripted responses.

mod traffic_support;

use flamingorock_core::traffic::Event;
use flamingorock_core::{StatementKind, Term, TransactionStatus};
use traffic_support::{TrafficHarness, configuration, service, view};

fn harness() -> TrafficHarness {
    TrafficHarness::new(view(configuration(service())))
}

/// Guards against acknowledging a write before a majority of instances has replicated it.
#[test]
fn write_is_answered_after_replication() {
    let mut harness = harness();
    let term = Term::first_of_epoch(1);
    let caller = harness.caller();
    let run = harness.request(caller, StatementKind::Write, "insert");
    harness.now_us += 1_000;
    let probes = harness.respond(&run, TransactionStatus::Idle);
    harness.now_us += 1_000;
    let probes = harness.respond_to_probes(&probes, term, [7, 6, 6]);
    harness.now_us += 1_000;
    harness.respond_to_probes(&probes, term, [7, 7, 6]);
    insta::assert_snapshot!(harness.transcript);
}

/// Guards against a read of a new session that misses a write acknowledged before the session
/// began.
#[test]
fn first_read_of_a_session_waits_for_a_confirmed_position() {
    let mut harness = harness();
    let term = Term::first_of_epoch(1);
    let caller = harness.caller();
    harness.now_us += 1_000;
    let probes = harness.request(caller, StatementKind::Read, "select");
    harness.now_us += 1_000;
    let run = harness.respond_to_probes(&probes, term, [7, 6, 7]);
    harness.now_us += 1_000;
    harness.respond(&run, TransactionStatus::Idle);
    insta::assert_snapshot!(harness.transcript);
}

/// Guards against acknowledging a write of a primary whose replicas have accepted a higher term.
#[test]
fn write_at_a_superseded_primary_is_not_acknowledged() {
    let mut harness = harness();
    let caller = harness.caller();
    let run = harness.request(caller, StatementKind::Write, "insert");
    harness.now_us += 1_000;
    let probes = harness.respond(&run, TransactionStatus::Idle);
    harness.now_us += 1_000;
    let higher = Term::first_of_epoch(2);
    harness.respond_to_probes(&probes[..1], Term::first_of_epoch(1), [7, 7, 7]);
    harness.respond_to_probes(&probes[1..], higher, [7, 7, 7]);
    harness.advance(4_998_000);
    insta::assert_snapshot!(harness.transcript);
}

/// Guards against an idle transaction that holds its connection forever, and against reporting it
/// to the caller as a lost connection instead of an idle timeout.
#[test]
fn idle_transaction_is_rolled_back() {
    let mut harness = harness();
    let term = Term::first_of_epoch(1);
    let caller = harness.caller();
    let run = harness.request(caller, StatementKind::Begin, "begin");
    let probes = harness.respond(&run, TransactionStatus::Open);
    harness.respond_to_probes(&probes, term, [7, 7, 7]);
    harness.transcript.clear();
    harness.advance(30_000_000);
    harness.request(caller, StatementKind::Write, "insert");
    harness.request(caller, StatementKind::EndTransaction, "commit");
    insta::assert_snapshot!(harness.transcript);
}

/// Guards against executing requests that arrived on the sockets of an owner while its process was
/// paused: another host may have taken over the database in the meantime. The owner had no requests
/// when the pause began, so nothing but regular ticks can detect it. Found by schedule 62863.
#[test]
fn request_that_waited_during_a_pause_is_not_run_before_the_term_is_confirmed() {
    let mut harness = harness();
    let term = Term::first_of_epoch(1);
    let caller = harness.caller();
    let mut due_us = harness.traffic.next_deadline_us();
    while let Some(at_us) = due_us.filter(|at_us| *at_us < 3_000_000) {
        harness.now_us = at_us;
        let probes = harness.advance(0);
        harness.respond_to_probes(&probes, term, [6, 6, 6]);
        due_us = harness.traffic.next_deadline_us();
    }
    harness.transcript.clear();
    harness.now_us = 6_000_000;
    let probes = harness.request(caller, StatementKind::Write, "insert");
    harness.now_us += 1_000;
    harness.respond_to_probes(&probes, term, [6, 6, 6]);
    insta::assert_snapshot!(harness.transcript);
}

/// Guards against reporting an expired queue deadline when no connection to the primary could be
/// opened.
#[test]
fn request_without_a_connection_is_not_run() {
    let mut harness = harness();
    let caller = harness.caller();
    harness.lose_connections();
    harness.transcript.clear();
    harness.request(caller, StatementKind::Write, "insert");
    harness.advance(5_000_000);
    let refusals = harness.transcript.lines().filter(|line| line.contains("Refuse"));
    insta::assert_snapshot!(refusals.collect::<Vec<_>>().join("\n"));
}

/// Guards against a late cancel request that cancels the statement of another session. The
/// connection is closed after the response, and the response is still held until it is confirmed.
#[test]
fn connection_with_a_cancel_request_on_its_way_is_not_reused() {
    let mut harness = harness();
    let caller = harness.caller();
    let run = harness.request(caller, StatementKind::Write, "insert");
    harness.step(Event::CancelRequested { caller });
    harness.respond(&run, TransactionStatus::Idle);
    let is_relevant = |line: &&str| line.contains("onnection") || line.contains("Deliver");
    let of_connections = harness.transcript.lines().filter(is_relevant);
    insta::assert_snapshot!(of_connections.collect::<Vec<_>>().join("\n"));
}
