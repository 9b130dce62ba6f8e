//! The codec of connections to backend servers.

mod support;

use bytes::Bytes;
use flamingorock_frontend::{BackendCodec, BackendError, BackendEvent};
use insta::assert_snapshot;
use support::{answer, dump, message};

const LIMIT_BYTES: usize = 1_000;

fn greeting() -> Vec<u8> {
    let ready = message(b'Z', b"I");
    let parts = [
        message(b'R', b"\0\0\0\0"),
        message(b'S', b"server_version\x0015.0\0"),
        message(b'K', b"\0\0\0\x05\0\0\0\x2a"),
        ready,
    ];
    parts.concat()
}

fn open() -> BackendCodec {
    let (mut codec, _) = BackendCodec::connect("proxy", "ledger-1");
    codec.receive(&greeting());
    assert_eq!(codec.next_event(), Ok(Some(BackendEvent::Opened)));
    codec
}

/// Answers a payload and prints the result.
fn run(bytes: &[u8]) -> String {
    let mut codec = open();
    codec.start_payload(LIMIT_BYTES);
    codec.receive(bytes);
    describe_event(codec.next_event())
}

fn describe_event(event: Result<Option<BackendEvent>, BackendError>) -> String {
    match event {
        Ok(Some(BackendEvent::Answered { answer, status, failed })) => {
            format!("answered, {status:?}, failed: {failed}\n{}", dump(&answer))
        }
        Ok(event) => format!("{event:?}\n"),
        Err(error) => format!("{error}\n"),
    }
}

/// Guards against a startup that a backend server refuses, and against a key that is lost, without
/// which nothing can be cancelled.
#[test]
fn startup_and_cancel() {
    let (_, startup) = BackendCodec::connect("proxy", "ledger-1");
    let cancel = open().cancel_request().expect("the greeting had a key");
    assert_snapshot!(format!("{}\n{}", startup.escape_ascii(), cancel.escape_ascii()));
}

/// Guards against a connection that is used although the backend server has not accepted it.
#[test]
fn refused_greetings() {
    let mut log = String::new();
    for packet in [
        message(b'R', b"\0\0\0\x05salt"),
        message(b'R', b"\0"),
        message(b'E', b"SFATAL\0C57P03\0Mstarting up\0\0"),
        message(b'E', b"cut short"),
        message(b'S', b"standard_conforming_strings\0off\0"),
        message(b'S', b"client_encoding\0LATIN1\0"),
        message(b'S', b"cut short"),
        message(b'K', b"\0"),
        message(b'D', b""),
        vec![b'S', 0xff, 0xff, 0xff, 0xff],
    ] {
        let (mut codec, _) = BackendCodec::connect("proxy", "ledger-1");
        codec.receive(&packet);
        log += &describe_event(codec.next_event());
    }
    assert_snapshot!(log);
}

/// Guards against an answer that is cut short or keeps messages that belong to no request.
#[test]
fn answers() {
    let mut log = run(&answer("TDDCZ"));
    log += &run(&answer("1ANE").into_iter().chain(message(b'Z', b"E")).collect::<Vec<u8>>());
    log += &run(&answer("STSDSCSZ"));
    log += &run(&answer("TDDC"));
    assert_snapshot!(log);
}

/// Guards against a connection that goes on after an answer which the proxy cannot pass on.
#[test]
fn answers_that_close_the_connection() {
    let mut log = String::new();
    for tags in ["G", "H", "W", "TDv", "R"] {
        log += &run(&answer(tags));
    }
    log += &run(&[&answer("TD")[..], &[b'D', 0, 0, 4, 0]].concat());
    log += &run(&[b'C', 0, 0, 0, 2]);
    log += &run(&message(b'Z', b"?"));
    assert_snapshot!(log);
}

/// Guards against a reset that is taken for done although the session may still hold state.
#[test]
fn reset() {
    let mut log = String::new();
    for tags in ["NCZCZ", "CZEZ", "CZ"] {
        let mut codec = open();
        let bytes = codec.start_reset();
        codec.receive(&answer(tags));
        log += &format!("{}{}", dump(&bytes), describe_event(codec.next_event()));
    }
    assert_snapshot!(log);
}

/// Guards against messages outside of an answer that are taken for a part of the next one.
#[test]
fn messages_while_idle() {
    let mut codec = open();
    codec.receive(&answer("SAN"));
    assert_eq!(codec.next_event(), Ok(None));
    codec.start_payload(LIMIT_BYTES);
    codec.receive(&answer("CZ"));
    let mut log = describe_event(codec.next_event());
    codec.receive(&answer("E"));
    log += &describe_event(codec.next_event());
    assert_snapshot!(log);
}

/// Guards against results that depend on how the bytes are divided over reads.
#[test]
fn split_at_every_byte() {
    let bytes = [&greeting()[..], &answer("STDANDSCSZ")].concat();
    let mut whole = open();
    whole.start_payload(LIMIT_BYTES);
    whole.receive(&answer("STDANDSCSZ"));
    let expected = whole.next_event();
    for split in 0..=bytes.len() {
        let (mut codec, _) = BackendCodec::connect("proxy", "ledger-1");
        let mut events = Vec::new();
        for part in [&bytes[..split], &bytes[split..]] {
            codec.receive(part);
            while let Some(event) = codec.next_event().expect("the bytes are well formed") {
                if event == BackendEvent::Opened {
                    codec.start_payload(LIMIT_BYTES);
                }
                events.push(event);
            }
        }
        assert_eq!(events.len(), 2, "split at {split}");
        assert_eq!(Ok(events.pop()), expected, "split at {split}");
    }
}

/// Guards against an answer that is copied although nothing has to be removed from it.
#[test]
fn answers_are_not_copied() {
    let mut codec = open();
    codec.start_payload(LIMIT_BYTES);
    codec.receive(&answer("TDDCZ"));
    let Ok(Some(BackendEvent::Answered { answer, .. })) = codec.next_event() else {
        panic!("the answer is whole");
    };
    let address = answer.as_ptr();
    let mut caller = support::Caller::open();
    caller.send(&[support::query("SELECT 1")]);
    let mut parts: Vec<Bytes> = Vec::new();
    let status = flamingorock_core::TransactionStatus::Idle;
    caller.codec.deliver(answer, status, &mut parts).expect("a simple query fits any answer");
    assert_eq!(parts.len(), 1);
    assert_eq!(parts[0].as_ptr(), address);
}
