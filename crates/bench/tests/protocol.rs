//! Encoding of statements and detection of replies.

use flamingorock_bench::{Reply, ReplyScanner, Statement};

/// Guards against measuring other statements than those that the report names.
#[test]
fn statements_are_encoded_as_documented() {
    let text = |bytes: &[u8]| bytes.escape_ascii().to_string();
    let mut lines = Vec::new();
    for statement in Statement::ALL {
        let preparation = statement.preparation().expect("it can be encoded");
        let messages = statement.messages().expect("it can be encoded");
        lines.push(format!("{statement}: {} | {}", text(&preparation), text(&messages)));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// Guards against counting a reply twice or not at all when it arrives in pieces, and against
/// counting an error as a completed statement.
#[test]
fn replies_are_counted_once() {
    let done = b"C\0\0\0\x0dSELECT 1\0Z\0\0\0\x05I";
    let failed = b"E\0\0\0\x05\0Z\0\0\0\x05I";
    let bytes = [&done[..], failed, done].concat();
    for piece_bytes in [1, 3, bytes.len()] {
        let mut scanner = ReplyScanner::default();
        let mut replies = Vec::new();
        for piece in bytes.chunks(piece_bytes) {
            scanner.receive(piece);
            while let Some(reply) = scanner.next_reply().expect("the messages are well-formed") {
                replies.push(reply);
            }
        }
        assert_eq!(
            replies,
            [Reply::Completed, Reply::Failed, Reply::Completed],
            "{piece_bytes} bytes"
        );
    }
}
