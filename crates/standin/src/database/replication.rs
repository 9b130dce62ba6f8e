//! Replication of the log from a primary to its replicas, over the port of the PostgreSQL protocol.
//!
//! A replica connects to its primary and sends the magic number and `Hello`. The primary answers
//! `Start`, then sends entries as they are committed and a keepalive otherwise. Messages are encoded
//! with `postcard` and preceded by their length.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::error::ConnectionError;
use super::instance::Instance;
use super::storage::{Entry, TermEnd};

/// First bytes of a replication connection: a startup packet of 8 bytes with a request code that
/// PostgreSQL does not use.
pub(crate) const MAGIC: [u8; 8] = [0, 0, 0, 8, 0x04, 0xd2, 0x17, 0x40];

/// Interval of keepalives, from section 3 of the design page.
const KEEPALIVE: Duration = Duration::from_millis(100);
/// Pause between attempts of a replica to reach its primary.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest message that is read.
const MESSAGE_LIMIT_BYTES: u32 = 64 << 20;
/// Largest number of log entries in one message.
const BATCH_ENTRIES: usize = 256;

#[derive(Debug, Deserialize, Serialize)]
struct Hello {
    accepted_term: u64,
    /// Last entry of each term in the log of the replica, for finding where the logs diverge.
    term_ends: Vec<TermEnd>,
}

#[derive(Debug, Deserialize, Serialize)]
enum Message {
    /// The replica keeps its log up to `lsn`; the entries that follow come next.
    Start { term: u64, lsn: u64 },
    /// New entries; none in a keepalive.
    Entries { term: u64, entries: Vec<Arc<Entry>> },
}

/// Runs the replica side of an instance until it stops.
pub(crate) fn pull(instance: &Instance) {
    loop {
        let mut state = instance.lock();
        while state.primary_term.is_some() || state.following.is_none() || state.faults.cut_group {
            if state.stopped {
                return;
            }
            state = instance.wait_change(state, None);
        }
        let (address, epoch) = (state.following, state.follow_epoch);
        drop(state);
        if let Some(address) = address
            && let Err(error) = pull_from(instance, address, epoch)
        {
            tracing::debug!(%address, %error, "replication stream ended");
        }
        let retry_at = Instant::now() + RECONNECT_PAUSE;
        let mut state = instance.lock();
        while !state.stopped && Instant::now() < retry_at {
            state = instance.wait_change(state, Some(retry_at));
        }
        if state.stopped {
            return;
        }
    }
}

/// Applies received entries when they reach the data lag, until the instance stops.
pub(crate) fn apply(instance: &Instance) {
    let mut state = instance.lock();
    while !state.stopped {
        let lsn = state.storage.lsn();
        let next_due_at = state.apply_due();
        if state.storage.lsn() != lsn {
            instance.notify();
        }
        state = instance.wait_change(state, next_due_at);
    }
}

fn pull_from(instance: &Instance, address: SocketAddr, epoch: u64) -> Result<(), ConnectionError> {
    let mut stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
    stream.set_nodelay(true)?;
    let hello = {
        let mut state = instance.lock();
        if state.follow_epoch != epoch || state.stopped {
            return Ok(());
        }
        state.upstream = Some(stream.try_clone()?);
        state.received.clear();
        let (accepted_term, term_ends) = (state.storage.accepted_term, state.storage.term_ends());
        Hello { accepted_term, term_ends }
    };
    stream.write_all(&MAGIC)?;
    write_message(&mut stream, &hello)?;
    loop {
        let message = read_message(&mut stream)?;
        if !instance.wait_fault(|faults| faults.cut_group) {
            return Ok(());
        }
        let mut state = instance.lock();
        let (Message::Start { term, .. } | Message::Entries { term, .. }) = &message;
        if state.follow_epoch != epoch || !state.hear_primary(*term) {
            return Ok(());
        }
        match message {
            Message::Start { lsn, .. } => state.storage.truncate(lsn),
            Message::Entries { entries, .. } => {
                let now = Instant::now();
                state.received.extend(entries.into_iter().map(|entry| (now, entry)));
                state.apply_due();
            }
        }
        instance.notify();
    }
}

/// Runs the primary side of one replication connection, after the magic number.
pub(crate) fn serve(instance: &Instance, mut stream: TcpStream) -> Result<(), ConnectionError> {
    let hello: Hello = read_message(&mut stream)?;
    if !instance.wait_fault(|faults| faults.cut_group) {
        return Ok(());
    }
    let (term, mut lsn) = {
        let state = instance.lock();
        match state.primary_term {
            // The replica would refuse the entries; it connects again after the next promotion.
            Some(term) if term < hello.accepted_term => return Ok(()),
            Some(term) => (term, state.storage.common_lsn(&hello.term_ends)),
            None => return Ok(()),
        }
    };
    write_message(&mut stream, &Message::Start { term, lsn })?;
    loop {
        let Some(entries) = next_entries(instance, term, lsn) else { return Ok(()) };
        lsn += entries.len() as u64;
        write_message(&mut stream, &Message::Entries { term, entries })?;
    }
}

/// Waits for entries after `lsn`; empty when a keepalive is due, `None` when the instance is no
/// longer the primary of `term`.
fn next_entries(instance: &Instance, term: u64, lsn: u64) -> Option<Vec<Arc<Entry>>> {
    let keepalive_at = Instant::now() + KEEPALIVE;
    let sent = usize::try_from(lsn).ok()?;
    let mut state = instance.lock();
    loop {
        if state.stopped || state.primary_term != Some(term) {
            return None;
        }
        let keepalive_due = Instant::now() >= keepalive_at;
        let more = state.storage.log.len() > sent;
        if !state.faults.cut_group && (more || keepalive_due) {
            let new = state.storage.log.iter().skip(sent).take(BATCH_ENTRIES);
            return Some(new.map(Arc::clone).collect());
        }
        // A cut stream has nothing to send until the fault is switched off.
        let deadline = (!state.faults.cut_group).then_some(keepalive_at);
        state = instance.wait_change(state, deadline);
    }
}

fn write_message<T: Serialize>(stream: &mut TcpStream, message: &T) -> Result<(), ConnectionError> {
    let malformed = |error: postcard::Error| ConnectionError::Protocol(error.to_string());
    let body = postcard::to_stdvec(message).map_err(malformed)?;
    let length = u32::try_from(body.len())
        .map_err(|_| ConnectionError::Protocol("replication message is too long".to_owned()))?;
    let mut frame = length.to_be_bytes().to_vec();
    frame.extend(body);
    Ok(stream.write_all(&frame)?)
}

fn read_message<T: DeserializeOwned>(stream: &mut TcpStream) -> Result<T, ConnectionError> {
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let length = u32::from_be_bytes(length);
    if length > MESSAGE_LIMIT_BYTES {
        return Err(ConnectionError::Protocol(format!("message of {length} bytes is too long")));
    }
    let mut body = Vec::new();
    stream.take(length.into()).read_to_end(&mut body)?;
    postcard::from_bytes(&body).map_err(|error| ConnectionError::Protocol(error.to_string()))
}
