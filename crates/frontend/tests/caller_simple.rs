//! Startup, simple queries and errors of the caller codec.

mod support;

use flamingorock_core::{ResultCode, TransactionStatus};
use flamingorock_frontend::{CallerCodec, Refusal};
use insta::assert_snapshot;
use support::{Caller, accept_with_options, describe_message, message, query, startup, sync};

fn first_messages(packets: &[Vec<u8>]) -> String {
    let mut codec = CallerCodec::new();
    codec.receive(&packets.concat());
    let mut log = String::new();
    while let Some(message) = codec.next_message() {
        log += &describe_message(&message);
    }
    log
}

/// Guards against a wrong reading of the packets that come before a session.
#[test]
fn startup_packets() {
    let parameters = b"user\0ada\0database\0ledger-1\0application_name\0crew\0\
        options\0-c flamingorock.rank=urgent\0TimeZone\0Asia/Tokyo\0\0";
    assert_snapshot!(first_messages(&[
        startup(80_877_104, b""),
        startup(80_877_103, b""),
        startup(0x3_0000, parameters),
    ]));
    assert_snapshot!(first_messages(&[startup(80_877_102, b"\0\0\0\x07\0\0\0\x63")]), @"cancel 7 99");
}

/// Guards against acceptance of a startup that the proxy cannot serve, and against a panic on one
/// that is cut short.
#[test]
fn refused_startup_packets() {
    let mut log = String::new();
    for packet in [
        startup(0x3_0002, b"user\0ada\0\0"),
        startup(0x2_0000, b""),
        startup(0x3_0000, b"user\0ada\0replication\0database\0\0"),
        startup(0x3_0000, b"user\0ada"),
        startup(0x3_0000, b"\0"),
        startup(0x3_0000, b"user\0a\xff\0\0"),
        startup(80_877_102, b"\0\0\0\x07"),
        vec![0, 0, 0, 4],
        vec![0, 0, 0x27, 0x11],
        vec![0xff, 0xff, 0xff, 0xff],
    ] {
        log += &first_messages(&[packet]);
    }
    assert_snapshot!(log);
}

/// Guards against a change of what drivers are told at the start, and against options that are
/// ignored without a word.
#[test]
fn greeting_and_options() {
    assert_snapshot!(accept_with_options(
        "-c flamingorock.rank=urgent -cflamingorock.deadline-ms=250 --flamingorock.max_staleness_ms=20"
    ));
    let mut log = String::new();
    for options in ["-c flamingorock.rank=top", "-c flamingorock.x=1", "-c work_mem=4MB", "-x"] {
        log += &accept_with_options(options);
    }
    assert_snapshot!(log);
}

/// Guards against a request that is handed out before the answer to the former one, and against an
/// answer that is changed on its way.
#[test]
fn simple_queries_run_one_at_a_time() {
    let mut caller = Caller::open();
    caller.send(&[query("SELECT 1"), query("INSERT INTO t VALUES (1)"), message(b'X', b"")]);
    caller.answer("TDCSZ").answer("CZ");
    assert_snapshot!(caller.log);
}

/// Guards against settings that reach a backend server, are lost, or accept invalid values.
#[test]
fn settings_are_answered_by_the_proxy() {
    let mut caller = Caller::open();
    caller.send(&[
        query("SET flamingorock.rank = 'urgent'"),
        query("set session flamingorock.deadline_ms to 250;"),
        query("SET application_name = 'it''s'; SET extra_float_digits = 3"),
        query("SHOW flamingorock.rank"),
        query(" -- nothing\n;"),
        query("SELECT 1"),
    ]);
    caller.answer("TDCZ").send(&[
        query("SET flamingorock.rank = 'top'"),
        query("SET flamingorock.max_staleness_ms = -1"),
        query("SET flamingorock.colour = 'pink'"),
        query("SET search_path = 'x'"),
        query("SET flamingorock.rank = 'normal'; SELECT 1"),
        query("DISCARD ALL"),
        query("SHOW flamingorock.deadline_ms"),
    ]);
    assert_snapshot!(caller.log);
}

/// Guards against errors that miss their number, their class or the caller's transaction status.
#[test]
fn daemon_refusals() {
    let mut caller = Caller::open();
    let overloaded = Refusal::new(ResultCode::Overloaded, "the expected wait is 900 ms");
    caller.send(&[query("SELECT 1")]).refuse(&overloaded, TransactionStatus::Idle);
    let lost = Refusal::new(ResultCode::BackendLost, "");
    caller.send(&[query("COMMIT")]).refuse(&lost, TransactionStatus::Failed);
    caller.send(&[query("SHOW application_name")]);
    assert_snapshot!(caller.log);
}

/// Guards against loss of the message boundaries after a violation, and against a connection that
/// goes on where the boundaries are unknown.
#[test]
fn violations() {
    let mut caller = Caller::open();
    caller.send(&[
        message(b'Q', b"no terminator"),
        message(b'Q', &[b'x'; 2_000]),
        message(b'F', b"\0\0\0\x01\0\0\0\0\0\0"),
        message(b'B', b"cut short"),
        query("SELECT 'skipped'"),
        sync(),
        message(b'd', &[b'x'; 3_000]),
        query("SELECT 1"),
    ]);
    caller.answer("TDCZ");
    for last in
        [vec![b'?'], message(b'p', b"password\0"), message(b'S', b"x"), vec![b'Q', 0, 0, 0, 3]]
    {
        let mut other = Caller::open();
        other.send(&[last, query("SELECT 1")]);
        caller.log += &other.log;
    }
    assert_snapshot!(caller.log);
}
