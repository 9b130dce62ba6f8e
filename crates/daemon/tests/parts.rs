//! Tests of the daemon's building blocks that need no running proxy.

use std::io::{self, ErrorKind, Write};

use bytes::Bytes;
use flamingorock_core::ArenaKey;
use flamingorockd::{Deadlines, Outbox, SocketKey, SocketTable, WriteBuffer, mailbox};
use mio::{Poll, Token};

/// A fake socket on which every other write fails with `WouldBlock`, and the others accept at most
/// `step` bytes.
struct SlowSocket {
    taken: Vec<u8>,
    step: usize,
    refuses: bool,
}

impl Write for SlowSocket {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.refuses = !self.refuses;
        if self.refuses {
            return Err(ErrorKind::WouldBlock.into());
        }
        let count = bytes.len().min(self.step);
        self.taken.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against bytes that partial writes lose, repeat or reorder. Covers short pieces, which the
/// buffer copies, and long ones, which it queues.
#[test]
fn partial_writes_keep_the_bytes_in_order() {
    for step in [1, 7, 4096, 100_000] {
        let mut buffer = WriteBuffer::new(usize::MAX);
        let mut expected = Vec::new();
        for (length, fill) in [(10, 1), (5_000, 2), (9_000, 3), (20, 4), (4_096, 5)] {
            let piece = vec![fill; length];
            expected.extend_from_slice(&piece);
            buffer.push(Bytes::from(piece));
        }
        assert_eq!(buffer.len(), expected.len());
        let mut socket = SlowSocket { taken: Vec::new(), step, refuses: false };
        while !buffer.is_empty() {
            buffer.flush(&mut socket).expect("the socket works");
        }
        assert_eq!(buffer.written_bytes(), expected.len() as u64);
        assert!(socket.taken == expected, "writes of {step} bytes");
    }
}

/// Guards against a write buffer that grows without end when the receiver does not read.
#[test]
fn a_write_buffer_reports_its_limit() {
    let mut buffer = WriteBuffer::new(10);
    buffer.push(Bytes::from_static(b"0123456789"));
    assert!(buffer.check_limit().is_ok());
    buffer.push(Bytes::from_static(b"x"));
    assert!(buffer.check_limit().is_err());
}

/// Guards against an event that is handled for the wrong socket because its key does not survive
/// the conversion to a token and back.
#[test]
fn tokens_name_table_slot_and_generation() {
    const BACKENDS: u8 = SocketTable::Backends as u8;
    for (index, generation) in [(0, 0), (1, 0), (0, u32::MAX), ((1 << 28) - 1, 7)] {
        let key = SocketKey::<BACKENDS>::from_parts(index, generation);
        let token = Token::from(key);
        assert_eq!(SocketTable::of(token), Some(SocketTable::Backends));
        assert_eq!(SocketKey::<BACKENDS>::from(token), key);
    }
    assert_eq!(SocketTable::of(Token(0)), None);
}

/// Guards against deadlines that expire early, late or in the wrong order.
#[test]
fn deadlines_come_due_in_order() {
    let mut deadlines = Deadlines::default();
    for (deadline_us, token) in [(30, 3), (10, 1), (20, 2)] {
        deadlines.add(deadline_us, Token(token));
    }
    assert_eq!(deadlines.next_us(), Some(10));
    assert_eq!(deadlines.pop_due(9), None);
    assert_eq!(deadlines.pop_due(25), Some(Token(1)));
    assert_eq!(deadlines.pop_due(25), Some(Token(2)));
    assert_eq!(deadlines.pop_due(25), None);
}

/// Guards against messages that are lost or reordered while the receiver's mailbox is full.
#[test]
fn an_outbox_keeps_what_does_not_fit() {
    let poll = Poll::new().expect("a poll");
    let (sender, receiver) = mailbox(2, poll.registry(), Token(0)).expect("a mailbox");
    let mut outbox = Outbox::new(sender);
    for item in 0..5 {
        outbox.send(item);
    }
    assert_eq!(outbox.queued_len(), 3);
    assert!(!outbox.send_or_drop(99));
    let mut received = Vec::new();
    while outbox.queued_len() > 0 {
        received.extend(receiver.try_iter());
        outbox.flush();
    }
    received.extend(receiver.try_iter());
    assert_eq!(received, [0, 1, 2, 3, 4]);
}
