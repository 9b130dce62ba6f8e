//! Tests of encoding and decoding frames and datagrams.

use bytes::{Bytes, BytesMut};
use flamingorock_core::message::{
    ControlMessage, ExecuteRequest, Heartbeat, Outcome, OwnedDatabase, OwnershipUpdate,
    TrafficMessage,
};
use flamingorock_core::{
    ArenaKey, DatabaseId, HostId, Lsn, Position, RankIndex, RequestKey, ResultCode, StatementKind,
    Term, TransactionKey, TransactionStatus,
};
use flamingorock_peer::{
    CallerCancel, DecodeError, EncodeError, Frame, FrameBody, FrameDecoder, Hello, LinkPurpose,
    MAX_FRAME_BYTES, decode_heartbeat, encode_frame, encode_heartbeat,
};

fn hex(bytes: &[u8]) -> String {
    bytes
        .chunks(16)
        .map(|line| line.iter().map(|byte| format!("{byte:02x}")).collect::<Vec<_>>().join(" "))
        .collect::<Vec<_>>()
        .join("\n")
}

fn encode<M: FrameBody>(message: &M) -> BytesMut {
    let mut out = BytesMut::new();
    encode_frame(message, &mut out).expect("the message fits a frame");
    out
}

fn traffic_hello() -> Hello {
    Hello::new(HostId(3), LinkPurpose::Traffic { from_thread: 2 })
}

fn execute() -> TrafficMessage {
    TrafficMessage::Execute(ExecuteRequest {
        request: RequestKey::from_parts(7, 1),
        entry_thread: 2,
        database: DatabaseId::from_name("ledger-1"),
        kind: StatementKind::Write,
        rank: RankIndex(1),
        remaining_us: 5_000_000,
        max_staleness_us: 0,
        min_position: Some(Position::new(Term::first_of_epoch(5), Lsn(42))),
        transaction: None,
        payload: Bytes::from_static(b"payload"),
    })
}

fn answer() -> TrafficMessage {
    TrafficMessage::Outcome {
        database: DatabaseId::from_name("ledger-1"),
        entry_thread: 2,
        request: RequestKey::from_parts(7, 1),
        outcome: Outcome::Completed {
            response: Bytes::from_static(b"answer"),
            status: TransactionStatus::Open,
            transaction: Some(TransactionKey::from_parts(4, 9)),
            min_position: None,
            by_replica: false,
        },
    }
}

fn refusal() -> TrafficMessage {
    TrafficMessage::Outcome {
        database: DatabaseId::from_name("ledger-1"),
        entry_thread: 0,
        request: RequestKey::from_parts(7, 1),
        outcome: Outcome::Refused { code: ResultCode::WrongOwner },
    }
}

fn heartbeat() -> Heartbeat {
    let database = DatabaseId::from_name("ledger-1");
    Heartbeat {
        host: HostId(1),
        incarnation: 1_700_000_000,
        sequence: 12,
        configuration_version: 7,
        draining: false,
        owned: vec![OwnedDatabase {
            database,
            epoch: 5,
            standby: Some(HostId(2)),
            standby_epoch: 6,
            primary_index: Some(0),
        }],
        updates: vec![OwnershipUpdate { database, owner: HostId(1), epoch: 5 }],
        heard: vec![HostId(2), HostId(3)],
    }
}

/// Guards against an unintended change of the wire format: during an upgrade, proxies of the old
/// and the new build could not communicate.
#[test]
fn encoded_frames() {
    insta::assert_snapshot!("hello_traffic", hex(&encode(&traffic_hello())));
    let control = Hello::new(HostId(3), LinkPurpose::Control);
    insta::assert_snapshot!("hello_control", hex(&encode(&control)));
    insta::assert_snapshot!("execute", hex(&encode(&execute())));
    insta::assert_snapshot!("answer", hex(&encode(&answer())));
    insta::assert_snapshot!("refusal", hex(&encode(&refusal())));
    let document = ControlMessage::ConfigurationDocument { version: 7, text: "text".to_owned() };
    insta::assert_snapshot!("configuration", hex(&encode(&document)));
    let cancel = CallerCancel { process_id: 65_536, secret: -1 };
    insta::assert_snapshot!("caller_cancel", hex(&encode(&cancel)));
}

/// Guards against an unintended change of the wire format of heartbeats.
#[test]
fn encoded_heartbeat() {
    let mut datagram = BytesMut::new();
    encode_heartbeat(&heartbeat(), &mut datagram).expect("the heartbeat fits a datagram");
    insta::assert_snapshot!(hex(&datagram));
    assert_eq!(decode_heartbeat(&datagram), Ok(heartbeat()));
}

/// Guards against frames that are lost, merged or corrupted when the stream arrives in segments,
/// with a boundary at any byte.
#[test]
fn frames_survive_any_segmentation() {
    let mut stream = encode(&traffic_hello());
    for message in [execute(), answer(), refusal()] {
        encode_frame(&message, &mut stream).expect("the message fits a frame");
    }
    for segment_bytes in 1..=stream.len() {
        let mut decoder = FrameDecoder::new();
        let mut input = BytesMut::new();
        let mut frames = Vec::new();
        for segment in stream.chunks(segment_bytes) {
            input.extend_from_slice(segment);
            while let Some(frame) = decoder.next_frame(&mut input).expect("well-formed") {
                frames.push(frame);
            }
        }
        let expected = [
            Frame::Hello(traffic_hello()),
            Frame::Traffic(execute()),
            Frame::Traffic(answer()),
            Frame::Traffic(refusal()),
        ];
        assert_eq!(frames, expected, "segments of {segment_bytes} bytes");
    }
}

fn decode_error(input: &[u8]) -> String {
    let mut decoder = FrameDecoder::new();
    let mut input = BytesMut::from(input);
    loop {
        match decoder.next_frame(&mut input) {
            Ok(Some(_)) => {}
            Ok(None) => return "incomplete".to_owned(),
            Err(error) => return error.to_string(),
        }
    }
}

/// Guards against malformed frames being accepted, and against errors that do not name the problem.
#[test]
fn malformed_frames() {
    let after_hello = |bytes: &[u8]| [&encode(&traffic_hello())[..], bytes].concat();
    let mut long_body = encode(&refusal()).to_vec();
    long_body[3] += 1;
    long_body.push(0);
    let cases: [(&str, Vec<u8>); 9] = [
        ("longer than the limit", vec![0xff, 0xff, 0xff, 0xff]),
        ("large first frame", vec![0, 1, 0, 0]),
        ("no tag", after_hello(&[0, 0, 0, 0])),
        ("unknown tag", after_hello(&[0, 0, 0, 1, 200])),
        ("traffic before hello", encode(&refusal()).to_vec()),
        ("second hello", after_hello(&encode(&traffic_hello()))),
        ("other version", vec![0, 0, 0, 3, 1, 9, 0]),
        ("truncated body", after_hello(&[0, 0, 0, 2, 2, 1])),
        ("trailing bytes", after_hello(&long_body)),
    ];
    let lines: Vec<String> =
        cases.iter().map(|(name, input)| format!("{name}: {}", decode_error(input))).collect();
    insta::assert_snapshot!(lines.join("\n"));
}

/// Guards against accepting control messages on a link that its sender has declared as a traffic
/// link.
#[test]
fn links_carry_only_their_own_messages() {
    let mut stream = encode(&traffic_hello());
    encode_frame(&ControlMessage::ConfigurationRequest, &mut stream).expect("fits");
    assert_eq!(decode_error(&stream), "unexpected Control frame");
}

/// Guards against decoding a heartbeat from a datagram of another version, a truncated datagram or
/// one with trailing bytes.
#[test]
fn malformed_heartbeats() {
    let mut datagram = BytesMut::new();
    encode_heartbeat(&heartbeat(), &mut datagram).expect("fits");
    for length in 0..datagram.len() {
        decode_heartbeat(&datagram[..length]).expect_err("the datagram is truncated");
    }
    let mut other_version = datagram.clone();
    other_version[1] = 9;
    assert_eq!(
        decode_heartbeat(&other_version),
        Err(DecodeError::UnsupportedVersion { version: 9 })
    );
    datagram.extend_from_slice(&[0]);
    decode_heartbeat(&datagram).expect_err("the datagram has a trailing byte");
}

/// Guards against sending a frame that the receiver would refuse, and against a partly written
/// frame that would corrupt the frames after it.
#[test]
fn oversized_message_leaves_the_buffer_unchanged() {
    let mut out = encode(&traffic_hello());
    let before = out.clone();
    let text = "x".repeat(MAX_FRAME_BYTES);
    let document = ControlMessage::ConfigurationDocument { version: 1, text };
    let result = encode_frame(&document, &mut out);
    assert_eq!(result, Err(EncodeError::TooLarge { limit_bytes: MAX_FRAME_BYTES }));
    assert_eq!(out, before);
}

/// Guards against a panic or an endless loop when decoding arbitrary bytes. The generator is a
/// 64-bit xorshift with a fixed seed, so that a failure is reproducible.
#[test]
fn arbitrary_bytes_never_panic() {
    let mut state: u64 = 0x9e37_79b9_7f4a_7c15;
    let mut next = move || {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        state
    };
    for _ in 0..20_000 {
        let length = (next() % 64) as usize;
        let random_bytes: Vec<u8> = (0..length).map(|_| (next() >> 32) as u8).collect();
        let _ = decode_error(&random_bytes);
        let tag = (next() % 5) as u8;
        let frame = [&[0, 0, 0, length as u8 + 1, tag][..], &random_bytes].concat();
        let _ = decode_error(&[&encode(&traffic_hello())[..], &frame].concat());
        let _ = decode_heartbeat(&random_bytes);
    }
}
