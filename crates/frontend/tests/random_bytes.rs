//! Byte streams that are random, damaged or divided in any way.

mod support;

use bytes::Bytes;
use flamingorock_core::TransactionStatus;
use flamingorock_frontend::{
    BackendCodec, BackendEvent, CallerCodec, CallerMessage, FunctionGroupProtocol, GroupProtocol,
    RankList, Refusal, classify,
};
use support::random::Random;
use support::{
    answer, bind, close, describe, describe_message, execute, flush, greeting, message, parse,
    query, startup, sync,
};

const MAX_REQUEST_BYTES: usize = 20_000;
/// What the codec may hold: one message and the read-ahead in the buffer, one request in the batch.
const MAX_BUFFERED_BYTES: usize = 2 * MAX_REQUEST_BYTES + 8 * 1024;

/// Text of SQL-like pieces, so that the tokenizer reaches its rarer states.
fn random_sql(random: &mut Random) -> String {
    let pieces = [
        "SELECT ",
        "SET ",
        "flamingorock.rank",
        " = ",
        "'",
        "\"",
        "$$",
        "$a$",
        "$1",
        "/*",
        "*/",
        "--",
        "\n",
        "E'",
        "\\",
        ";",
        "(",
        ")",
        "count",
        "urgent",
        "INSERT INTO ",
        "t",
        ".",
        "1.5",
        "COPY",
        "BEGIN",
        "COMMIT",
        "é",
        "SHOW ",
        "DISCARD ALL",
        "WITH HOLD",
        "DECLARE ",
    ];
    (0..random.below(12)).map(|_| random.pick(&pieces)).collect()
}

/// A well-formed message of a session, with names from a small set.
fn random_message(random: &mut Random) -> Vec<u8> {
    let name = random.pick(&["", "a", "b"]);
    match random.below(12) {
        0 => query(&random_sql(random)),
        1 | 2 => parse(name, &random_sql(random)),
        3 | 4 => bind(random.pick(&["", "p"]), name),
        5 => describe(if random.below(2) == 0 { 'S' } else { 'P' }, name),
        6 | 7 => execute(random.pick(&["", "p"])),
        8 => close(if random.below(2) == 0 { 'S' } else { 'P' }, name),
        9 => flush(),
        10 => message(b"dcfFBPDEC"[random.below(9)], &random.bytes(40)),
        _ => sync(),
    }
}

fn open_caller() -> CallerCodec {
    let mut codec = CallerCodec::new();
    codec.receive(&startup(0x3_0000, b"user\0ada\0\0"));
    let Some(CallerMessage::Startup(startup)) = codec.next_message() else {
        panic!("the startup is well formed");
    };
    codec.accept(&startup, &greeting(MAX_REQUEST_BYTES)).expect("there are no options");
    codec
}

/// Passes bytes in, in pieces, and refuses every request. Returns a log of all messages.
fn run_caller(codec: &mut CallerCodec, pieces: &[&[u8]]) -> String {
    let mut log = String::new();
    for piece in pieces {
        let mut rest = *piece;
        loop {
            let taken = codec.receive(rest);
            assert!(codec.buffered_bytes() <= MAX_BUFFERED_BYTES);
            rest = &rest[taken..];
            let mut progressed = taken > 0;
            while let Some(message) = codec.next_message() {
                log += &describe_message(&message);
                progressed = true;
                if let CallerMessage::Request(_) = message {
                    let refusal = Refusal::new(flamingorock_core::ResultCode::Overloaded, "");
                    codec.refuse(&refusal, TransactionStatus::Idle);
                }
            }
            if rest.is_empty() || !progressed {
                break;
            }
        }
    }
    log
}

/// Guards against a panic on, and against memory taken up by, a caller that sends anything at all.
#[test]
fn random_streams_of_callers() {
    for seed in 1..=400 {
        let mut random = Random::new(seed);
        let mut stream: Vec<u8> = Vec::new();
        for _ in 0..random.below(60) {
            stream.extend_from_slice(&random_message(&mut random));
        }
        for _ in 0..random.below(4) {
            let position = random.below(stream.len().max(1));
            if let Some(byte) = stream.get_mut(position) {
                *byte = random.next().to_le_bytes()[0];
            }
        }
        run_caller(&mut open_caller(), &[&stream, &random.bytes(30_000)]);
        run_caller(&mut CallerCodec::new(), &[&random.bytes(300)]);
    }
}

/// Guards against a message that is buffered although its header says that it is too large, and
/// against a batch that grows without end.
#[test]
fn large_streams_are_bounded() {
    for tag in *b"QPBDECdX" {
        let mut stream = vec![tag, 0x7f, 0xff, 0xff, 0xff];
        stream.resize(200_000, b'x');
        run_caller(&mut open_caller(), &[&stream]);
    }
    for repeated in [close('S', "a"), parse("", "SELECT 1"), parse("", "SHOW application_name")] {
        run_caller(&mut open_caller(), &[&repeated.repeat(20_000)]);
    }
}

/// Guards against messages that depend on how their bytes are divided over reads.
#[test]
fn split_at_every_byte() {
    for seed in 1..=20 {
        let mut random = Random::new(seed);
        let messages: Vec<Vec<u8>> = (0..30).map(|_| random_message(&mut random)).collect();
        let stream = messages.concat();
        let expected = run_caller(&mut open_caller(), &[&stream]);
        for split in 0..=stream.len() {
            let parts = [&stream[..split], &stream[split..]];
            let found = run_caller(&mut open_caller(), &parts);
            assert_eq!(found, expected, "seed {seed}, split at {split}");
        }
    }
    let start = startup(0x3_0000, b"user\0ada\0options\0-c flamingorock.rank=urgent\0\0");
    for split in 0..=start.len() {
        let log = run_caller(&mut CallerCodec::new(), &[&start[..split], &start[split..]]);
        assert_eq!(log, run_caller(&mut CallerCodec::new(), &[&start]), "split at {split}");
    }
}

/// Guards against a panic on anything that a backend server sends.
#[test]
fn random_streams_of_backend_servers() {
    for seed in 1..=2_000 {
        let mut random = Random::new(seed);
        let (mut codec, _) = BackendCodec::connect("proxy", "ledger-1");
        codec.receive(&[message(b'R', &[0; 4]), message(b'Z', b"I")].concat());
        assert_eq!(codec.next_event(), Ok(Some(BackendEvent::Opened)));
        if random.below(4) == 0 {
            codec.start_reset();
        } else {
            codec.start_payload(5_000);
        }
        let mut stream = Vec::new();
        for _ in 0..random.below(20) {
            stream.extend(answer(random.pick(&["1", "2", "TD", "DC", "N", "S", "A", "E", "Z"])));
        }
        stream.extend(random.bytes(200));
        for piece in stream.chunks(1 + random.below(40)) {
            codec.receive(piece);
            while let Ok(Some(_)) = codec.next_event() {}
        }
        let _ = FunctionGroupProtocol.report(&stream);
    }
}

/// Guards against a panic on an answer that does not fit the request.
#[test]
fn random_answers() {
    for seed in 1..=2_000 {
        let mut random = Random::new(seed);
        let mut codec = open_caller();
        let messages: Vec<Vec<u8>> = (0..10).map(|_| random_message(&mut random)).collect();
        codec.receive(&[messages.concat(), sync()].concat());
        while let Some(message) = codec.next_message() {
            let CallerMessage::Request(_) = message else { continue };
            let mut bytes = Vec::new();
            for _ in 0..random.below(9) {
                bytes.extend(answer(random.pick(&["1", "2", "3", "T", "t", "DC", "N", "E", "Z"])));
            }
            let mut parts: Vec<Bytes> = Vec::new();
            let delivered = codec.deliver(Bytes::from(bytes), TransactionStatus::Idle, &mut parts);
            if delivered.is_err() {
                break;
            }
        }
    }
}

/// Guards against a panic of the tokenizer on text that is damaged or not UTF-8.
#[test]
fn random_sql_text() {
    let ranks = RankList::new(["urgent"], 0);
    for seed in 1..=20_000 {
        let mut random = Random::new(seed);
        let _ = classify(random_sql(&mut random).as_bytes(), &ranks);
        let _ = classify(&random.bytes(40), &ranks);
    }
}
