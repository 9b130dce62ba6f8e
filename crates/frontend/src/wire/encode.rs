//! Encoding of whole messages.

use bytes::{Bytes, BytesMut};
use flamingorock_core::TransactionStatus;
use pgwire::messages::Message;
use pgwire::messages::response::{ReadyForQuery, TransactionStatus as WireStatus};
use pgwire::messages::simplequery::Query;

/// Appends a message to a buffer.
pub(crate) fn append<M: Message>(message: &M, buffer: &mut BytesMut) {
    // pgwire refuses messages of more than 30,000 bytes of some types. Their fields come from a
    // startup message of at most 10,000 bytes or are truncated when they are set.
    message.encode(buffer).expect("fields are bounded when they are accepted");
}

/// Encodes one message.
pub(crate) fn encode<M: Message>(message: &M) -> Bytes {
    let mut buffer = BytesMut::with_capacity(message.message_length() + 1);
    append(message, &mut buffer);
    buffer.freeze()
}

/// Encodes a simple query.
pub(crate) fn query(sql: String) -> Bytes {
    encode(&Query::new(sql))
}

/// The message that ends an answer.
pub(crate) fn ready_for_query(status: TransactionStatus) -> ReadyForQuery {
    ReadyForQuery::new(match status {
        TransactionStatus::Idle => WireStatus::Idle,
        TransactionStatus::Open => WireStatus::Transaction,
        TransactionStatus::Failed => WireStatus::Error,
    })
}

/// Gives up the memory of a buffer, which stays with the messages that were taken from it.
pub(crate) fn release_if_empty(buffer: &mut BytesMut) {
    if buffer.is_empty() {
        *buffer = BytesMut::new();
    }
}

/// Transaction status that a `ReadyForQuery` message carries.
pub(crate) fn status_of(byte: u8) -> Option<TransactionStatus> {
    match byte {
        b'I' => Some(TransactionStatus::Idle),
        b'T' => Some(TransactionStatus::Open),
        b'E' => Some(TransactionStatus::Failed),
        _ => None,
    }
}
