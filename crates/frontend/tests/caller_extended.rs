//! Prepared statements, portals and `Flush` in the caller codec.

mod support;

use flamingorock_core::{ResultCode, TransactionStatus};
use flamingorock_frontend::Refusal;
use insta::assert_snapshot;
use support::{Caller, bind, close, describe, execute, flush, message, parse, query, sync};

/// Guards against an unnamed statement that is rewritten without need.
#[test]
fn unnamed_statement_passes_unchanged() {
    let mut caller = Caller::open();
    caller.send(&[parse("", "SELECT 1"), bind("", ""), describe('P', ""), execute(""), sync()]);
    caller.answer("12TDDCZ");
    assert_snapshot!(caller.log);
}

/// Guards against a named statement that depends on the connection that parsed it, and against an
/// answer with a `ParseComplete` that the caller did not ask for.
#[test]
fn named_statement_is_parsed_again_for_each_request() {
    let mut caller = Caller::open();
    caller.send(&[parse("s1", "SELECT $1"), describe('S', "s1"), sync()]).answer("1tTZ");
    caller.send(&[bind("", "s1"), execute(""), sync()]).answer("12DCZ");
    caller.send(&[
        parse("s2", "INSERT INTO t VALUES ($1)"),
        bind("p1", "s1"),
        bind("p2", "s2"),
        execute("p1"),
        execute("p2"),
        sync(),
    ]);
    caller.answer("1121N2DCCZ");
    assert_snapshot!(caller.log);
}

/// Guards against an unnamed statement that is lost between requests or outlives a simple query.
#[test]
fn unnamed_statement_is_kept_until_it_is_replaced() {
    let mut caller = Caller::open();
    caller.send(&[parse("", "DELETE FROM t WHERE a = $1"), sync()]).answer("1Z");
    caller.send(&[bind("", ""), execute(""), sync()]).answer("12CZ");
    caller.send(&[query("SELECT 1")]).answer("TDCZ");
    caller.send(&[bind("", ""), execute(""), sync()]);
    assert_snapshot!(caller.log);
}

/// Guards against a statement that is kept although its `Parse` failed or was never reached, and
/// against a plan that outlives an error.
#[test]
fn failed_parse_is_not_kept() {
    let mut caller = Caller::open();
    caller.send(&[parse("s1", "SELECT nonsense"), parse("s2", "SELECT 1"), sync()]).answer("EZ");
    caller.send(&[bind("", "s1"), execute(""), sync()]);
    caller.send(&[bind("", "s2"), execute(""), sync()]);
    caller.send(&[parse("s1", "SELECT 1"), sync()]).answer("1Z");
    caller.send(&[parse("s1", "SELECT 2"), sync()]);
    assert_snapshot!(caller.log);
}

/// Guards against a `CloseComplete` that is missing or in the wrong place, and against a closed
/// statement that can still be bound.
#[test]
fn close_is_answered_in_its_place() {
    let mut caller = Caller::open();
    caller.send(&[parse("s1", "SELECT 1"), sync()]).answer("1Z");
    caller.send(&[
        close('S', "s1"),
        parse("s1", "SELECT 2"),
        bind("", "s1"),
        execute(""),
        close('P', ""),
        close('S', "s1"),
        sync(),
    ]);
    caller.answer("12DC3Z");
    caller.send(&[bind("", "s1"), sync()]);
    caller.send(&[close('S', "s1"), sync()]);
    assert_snapshot!(caller.log);
}

/// Guards against statements of the proxy that work in simple queries only, and against an order of
/// the answers other than that of the messages.
#[test]
fn settings_in_extended_queries() {
    let mut caller = Caller::open();
    let set = "SET flamingorock.rank = 'background'";
    caller.send(&[parse("", set), bind("", ""), describe('P', ""), execute(""), sync()]);
    caller.send(&[parse("q", ""), bind("", "q"), execute(""), sync()]);
    caller.send(&[
        parse("", "BEGIN"),
        bind("", ""),
        execute(""),
        parse("show", "SHOW flamingorock.rank"),
        describe('S', "show"),
        bind("", "show"),
        execute(""),
        parse("", "SELECT 1"),
        bind("", ""),
        execute(""),
        sync(),
    ]);
    caller.answer("12C12DCZ");
    assert_snapshot!(caller.log);
}

/// Guards against a `Flush` that never gets its answer, and against a second `ReadyForQuery`.
#[test]
fn flush_runs_the_batch_so_far() {
    let mut caller = Caller::open();
    caller.send(&[parse("s1", "SELECT $1"), describe('S', "s1"), flush()]).answer("1tTZ");
    caller.send(&[bind("", "s1"), execute(""), sync()]).answer("12DCZ");
    caller.send(&[parse("s2", "nonsense"), flush(), bind("", "s2"), sync()]).answer("EZ");
    caller.send(&[parse("s3", "SELECT 1"), flush(), bind("", "s3"), sync()]);
    let refusal = Refusal::new(ResultCode::QueueFull, "");
    caller.refuse(&refusal, TransactionStatus::Idle);
    caller.send(&[bind("", "s1"), execute(""), flush(), sync()]);
    caller.send(&[close('S', "s1"), flush(), flush(), sync()]);
    assert_snapshot!(caller.log);
}

/// Guards against a part of a refused batch that is sent on, and against requests that are routed by
/// only one of their statements.
#[test]
fn refused_and_mixed_batches() {
    let mut caller = Caller::open();
    caller.send(&[
        parse("", "INSERT INTO t VALUES (1)"),
        bind("", ""),
        execute(""),
        parse("", "LISTEN news"),
        bind("", ""),
        execute(""),
        sync(),
    ]);
    caller.send(&[execute("old"), sync()]).answer("CZ");
    caller.send(&[parse("", "COMMIT"), bind("", ""), execute(""), sync()]).answer("12CZ");
    caller.send(&[parse("", "SELECT 1"), bind("", ""), execute(""), query("SELECT 2"), sync()]);
    caller.send(&[parse("", "SELECT 1; SET application_name = x"), sync()]);
    assert_snapshot!(caller.log);
}

/// Guards against prepared statements that take up memory without bound.
#[test]
fn kept_statements_are_bounded() {
    let mut caller = Caller::open();
    for number in 0..1_000 {
        caller.send(&[parse(&format!("s{number}"), "SELECT 1"), sync()]).answer("1Z");
    }
    caller.log.clear();
    caller.send(&[parse("one-more", "SELECT 1"), sync()]);
    caller.send(&[parse("", "SELECT 1"), sync()]).answer("1Z");
    caller.send(&[close('S', "s7"), parse("one-more", "SELECT 1"), sync()]).answer("1Z");
    let large = format!("SELECT {}", " ".repeat(700));
    caller.send(&[parse("", &large), parse("", &large), sync()]);
    assert_snapshot!(caller.log);
}

/// Guards against a batch whose plan takes far more memory than its messages.
#[test]
fn messages_of_a_batch_are_bounded() {
    let mut caller = Caller::open_with_limit(1 << 20);
    let messages = vec![close('P', ""); 65_537];
    caller.send(&messages).send(&[close('P', ""), sync()]);
    assert_snapshot!(caller.log);
}

/// Guards against an answer that is passed on although it does not belong to the request.
#[test]
fn answer_that_does_not_fit_is_an_error() {
    let mut caller = Caller::open();
    caller.send(&[parse("s1", "SELECT 1"), sync()]).answer("2Z");
    let mut caller_2 = Caller::open();
    caller_2.send(&[parse("s1", "SELECT 1"), describe('S', "s1"), sync()]).answer("");
    assert_snapshot!(caller.log + &caller_2.log);
}

/// Guards against message bodies that are read past their end.
#[test]
fn malformed_extended_messages() {
    let mut caller = Caller::open();
    for (tag, body) in [
        (b'P', &b"name\0SELECT 1\0\0\x01"[..]),
        (b'P', b"name\0no terminator"),
        (b'B', b"\0"),
        (b'D', b"X\0"),
        (b'D', b"Sname\0x"),
        (b'E', b"\0\0\0\0"),
        (b'C', b""),
    ] {
        caller.send(&[message(tag, body), sync()]);
    }
    assert_snapshot!(caller.log);
}
