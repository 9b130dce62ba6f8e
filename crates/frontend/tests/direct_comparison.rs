//! Answers through the proxy compared with those of a direct connection.

mod support;

use bytes::Bytes;
use flamingorock_core::TransactionStatus;
use flamingorock_frontend::CallerMessage;
use support::random::Random;
use support::server::Server;
use support::{Caller, bind, close, describe, dump, execute, parse, sync};

/// What a caller gets for one batch.
#[derive(Debug, Default)]
struct Received {
    bytes: Vec<u8>,
    is_refused: bool,
}

/// Sends a batch through the proxy. Each request runs on a connection that knows no statements.
fn run_through_proxy(caller: &mut Caller, batch: &[u8]) -> Received {
    let mut received = Received::default();
    caller.codec.receive(batch);
    while let Some(message) = caller.codec.next_message() {
        match message {
            CallerMessage::Request(request) => {
                let answer = Bytes::from(Server::default().run(&request.payload));
                let mut parts: Vec<Bytes> = Vec::new();
                let status = TransactionStatus::Idle;
                caller.codec.deliver(answer, status, &mut parts).expect("the answer fits");
                received.bytes.extend(parts.concat());
            }
            CallerMessage::LocalAnswer { answer } => received.bytes.extend(answer),
            CallerMessage::Refused { .. } => received.is_refused = true,
            other => panic!("unexpected {other:?}"),
        }
    }
    received
}

fn random_batch(random: &mut Random) -> Vec<u8> {
    let texts = ["SELECT 1", "SELECT 2", "bad", "", "SET extra_float_digits = 1", "INSERT INTO t"];
    let mut batch = Vec::new();
    for _ in 0..1 + random.below(8) {
        let name = random.pick(&["", "a", "b"]);
        let portal = random.pick(&["", "p"]);
        batch.extend(match random.below(9) {
            0 | 1 => parse(name, random.pick(&texts)),
            2 | 3 => bind(portal, name),
            4 => describe('S', name),
            5 => describe('P', portal),
            6 | 7 => execute(portal),
            _ => close(random.pick(&[&'S', &'P']).to_owned(), random.pick(&[name, portal])),
        });
    }
    batch.extend(sync());
    batch
}

/// Guards against an answer through the proxy that differs from that of a direct connection: a
/// statement that is another one, lost or kept wrongly, and messages that are missing, in excess or in
/// another order. A batch that the proxy refuses must fail on a direct connection too.
#[test]
fn prepared_statements_work_as_on_a_direct_connection() {
    let mut refused_count = 0;
    for seed in 1..=3_000 {
        let mut random = Random::new(seed);
        let mut caller = Caller::open();
        let mut direct = Server::default();
        for number in 0..12 {
            let batch = random_batch(&mut random);
            let before = direct.clone();
            let expected = direct.run(&batch);
            let received = run_through_proxy(&mut caller, &batch);
            let context = format!("seed {seed}, batch {number}\n{}", dump(&batch));
            if received.is_refused {
                refused_count += 1;
                assert!(dump(&expected).contains("  E "), "{context}{}", dump(&expected));
                // Nothing of the batch was run, and the unnamed statement is gone for certain only if
                // the batch replaced it.
                direct = before;
                let reset = [close('S', ""), sync()].concat();
                direct.run(&reset);
                run_through_proxy(&mut caller, &reset);
            } else {
                assert_eq!(dump(&received.bytes), dump(&expected), "{context}");
            }
        }
    }
    assert!(refused_count > 0, "refusals are a part of what is compared");
}
