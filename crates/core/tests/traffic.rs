//! The path of a request through the traffic machine.

mod traffic_support;

use flamingorock_core::traffic::Event;
use flamingorock_core::{StatementKind, Term, TransactionStatus};
use traffic_support::{Bench, configuration, service, view};

fn bench() -> Bench {
    Bench::new(view(configuration(service())))
}

/// Guards against a write that is acknowledged before a majority of instances has it.
#[test]
fn write_is_answered_after_replication() {
    let mut bench = bench();
    let term = Term::first_of_epoch(1);
    let caller = bench.caller();
    let run = bench.request(caller, StatementKind::Write, "insert");
    bench.now_us += 1_000;
    let probes = bench.answer(&run, TransactionStatus::Idle);
    bench.now_us += 1_000;
    let probes = bench.answer_probes(&probes, term, [7, 6, 6]);
    bench.now_us += 1_000;
    bench.answer_probes(&probes, term, [7, 7, 6]);
    insta::assert_snapshot!(bench.transcript);
}

/// Guards against a read of a new session that misses what was acknowledged before it began.
#[test]
fn first_read_of_a_session_waits_for_a_confirmed_position() {
    let mut bench = bench();
    let term = Term::first_of_epoch(1);
    let caller = bench.caller();
    bench.now_us += 1_000;
    let probes = bench.request(caller, StatementKind::Read, "select");
    bench.now_us += 1_000;
    let run = bench.answer_probes(&probes, term, [7, 6, 7]);
    bench.now_us += 1_000;
    bench.answer(&run, TransactionStatus::Idle);
    insta::assert_snapshot!(bench.transcript);
}

/// Guards against an acknowledgement by a primary whose replicas have accepted a higher term.
#[test]
fn write_at_a_superseded_primary_is_not_acknowledged() {
    let mut bench = bench();
    let caller = bench.caller();
    let run = bench.request(caller, StatementKind::Write, "insert");
    bench.now_us += 1_000;
    let probes = bench.answer(&run, TransactionStatus::Idle);
    bench.now_us += 1_000;
    let higher = Term::first_of_epoch(2);
    bench.answer_probes(&probes[..1], Term::first_of_epoch(1), [7, 7, 7]);
    bench.answer_probes(&probes[1..], higher, [7, 7, 7]);
    bench.advance(4_998_000);
    insta::assert_snapshot!(bench.transcript);
}

/// Guards against a transaction that holds its connection for ever, and against a caller that is told
/// of a lost connection when its transaction was rolled back for being idle.
#[test]
fn idle_transaction_is_rolled_back() {
    let mut bench = bench();
    let term = Term::first_of_epoch(1);
    let caller = bench.caller();
    let run = bench.request(caller, StatementKind::Begin, "begin");
    let probes = bench.answer(&run, TransactionStatus::Open);
    bench.answer_probes(&probes, term, [7, 7, 7]);
    bench.transcript.clear();
    bench.advance(30_000_000);
    bench.request(caller, StatementKind::Write, "insert");
    bench.request(caller, StatementKind::EndTransaction, "commit");
    insta::assert_snapshot!(bench.transcript);
}

/// Guards against an owner that was paused while it had no work, and runs what waited in its sockets
/// meanwhile although another host may have taken the database over (schedule 62863).
#[test]
fn request_that_waited_during_a_pause_is_not_run_before_the_term_is_confirmed() {
    let mut bench = bench();
    let term = Term::first_of_epoch(1);
    let caller = bench.caller();
    let mut due_us = bench.traffic.next_deadline_us();
    while let Some(at_us) = due_us.filter(|at_us| *at_us < 3_000_000) {
        bench.now_us = at_us;
        let probes = bench.advance(0);
        bench.answer_probes(&probes, term, [6, 6, 6]);
        due_us = bench.traffic.next_deadline_us();
    }
    bench.transcript.clear();
    bench.now_us = 6_000_000;
    let probes = bench.request(caller, StatementKind::Write, "insert");
    bench.now_us += 1_000;
    bench.answer_probes(&probes, term, [6, 6, 6]);
    insta::assert_snapshot!(bench.transcript);
}

/// Guards against a request that is told of a full queue when no connection to the primary could be
/// opened.
#[test]
fn request_without_a_connection_is_not_run() {
    let mut bench = bench();
    let caller = bench.caller();
    bench.lose_connections();
    bench.transcript.clear();
    bench.request(caller, StatementKind::Write, "insert");
    bench.advance(5_000_000);
    let refusals = bench.transcript.lines().filter(|line| line.contains("Refuse"));
    insta::assert_snapshot!(refusals.collect::<Vec<_>>().join("\n"));
}

/// Guards against a late cancel request that hits the statement of another session: the connection is
/// closed after the answer, and the answer still waits for its confirmation.
#[test]
fn connection_with_a_cancel_request_on_its_way_is_not_reused() {
    let mut bench = bench();
    let caller = bench.caller();
    let run = bench.request(caller, StatementKind::Write, "insert");
    bench.step(Event::CancelRequested { caller });
    bench.answer(&run, TransactionStatus::Idle);
    let is_relevant = |line: &&str| line.contains("onnection") || line.contains("Deliver");
    let of_connections = bench.transcript.lines().filter(is_relevant);
    insta::assert_snapshot!(of_connections.collect::<Vec<_>>().join("\n"));
}
