//! Links that this proxy opens to other proxies.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;

use flamingorock_core::HostId;
use flamingorock_core::arena::Arena;
use flamingorock_peer::{FrameBody, Hello, encode_frame};
use mio::Token;

use super::LostLink;
use crate::io_context::IoContext;
use crate::net::{OutgoingLinkKey, ReadOutcome, Stream, connect, is_connected};

/// Time to establish a link.
const CONNECT_TIMEOUT_US: u64 = 1_000_000;

/// Maximum amount of unwritten output of a link, above which messages are refused. It holds several
/// frames of the maximum size.
const OUTPUT_LIMIT_BYTES: usize = 128 * 1024 * 1024;

/// A link to another proxy. `R` identifies requests that are reported one by one if they were not
/// sent.
#[derive(Debug)]
struct OutgoingLink<R> {
    host: HostId,
    stream: Stream,
    connected: bool,
    /// Size of the first frame. Only bytes written beyond it belong to messages.
    hello_bytes: u64,
    /// When the link must be established; `None` once it is.
    deadline_us: Option<u64>,
    /// Requests of which no byte has been written, with the offset of their first byte in the
    /// output.
    unwritten: VecDeque<(u64, R)>,
}

/// Table of one thread's links to other proxies, which are opened on demand.
#[derive(Debug)]
pub struct OutgoingLinks<R> {
    hello: Hello,
    addresses: BTreeMap<HostId, SocketAddr>,
    links: Arena<OutgoingLinkKey, OutgoingLink<R>>,
    by_host: HashMap<HostId, OutgoingLinkKey>,
}

impl<R> OutgoingLinks<R> {
    /// Creates the table. `hello` is the first frame of each link.
    #[must_use]
    pub fn new(hello: Hello, addresses: BTreeMap<HostId, SocketAddr>) -> Self {
        Self { hello, addresses, links: Arena::new(), by_host: HashMap::new() }
    }

    /// Queues a message, and opens a link if there is none. After an error, no byte of the message
    /// has been or will be written.
    pub fn send<M: FrameBody>(
        &mut self,
        io: &mut IoContext,
        host: HostId,
        message: &M,
        request: Option<R>,
    ) -> Result<(), SendError> {
        let key = match self.by_host.get(&host) {
            Some(&key) => key,
            None => self.open(io, host).map_err(|_| SendError::Unreachable)?,
        };
        let link = self.links.get_mut(key).ok_or(SendError::Unreachable)?;
        let start_bytes = link.stream.output.end_offset_bytes();
        let tail = link.stream.output.tail_mut();
        let tail_bytes = tail.len();
        encode_frame(message, tail).map_err(|_| SendError::TooLarge)?;
        if link.stream.output.check_limit().is_err() {
            link.stream.output.tail_mut().truncate(tail_bytes);
            return Err(SendError::Unreachable);
        }
        link.unwritten.extend(request.map(|request| (start_bytes, request)));
        io.dirty.push(key.into());
        io.metrics.link_frames_sent.inc();
        Ok(())
    }

    fn open(&mut self, io: &mut IoContext, host: HostId) -> std::io::Result<OutgoingLinkKey> {
        let address = *self.addresses.get(&host).ok_or(std::io::ErrorKind::NotFound)?;
        let mut stream = Stream::new(connect(address)?, OUTPUT_LIMIT_BYTES);
        encode_frame(&self.hello, stream.output.tail_mut()).expect("a first frame is short");
        let deadline_us = io.now_us + CONNECT_TIMEOUT_US;
        let hello_bytes = stream.output.end_offset_bytes();
        let key = self.links.insert(OutgoingLink {
            host,
            stream,
            connected: false,
            hello_bytes,
            deadline_us: Some(deadline_us),
            unwritten: VecDeque::new(),
        });
        let link = self.links.get_mut(key).expect("just inserted");
        if let Err(error) = io.register(&mut link.stream.tcp, key.into()) {
            self.links.remove(key);
            return Err(error);
        }
        io.deadlines.add(deadline_us, key.into());
        io.metrics.link_connects.inc();
        self.by_host.insert(host, key);
        Ok(key)
    }

    /// Handles readiness of a link's socket, and writes queued output. Returns the link if it was
    /// lost.
    pub fn ready(&mut self, io: &mut IoContext, token: Token) -> Option<LostLink<R>> {
        let key = OutgoingLinkKey::from(token);
        let link = self.links.get_mut(key)?;
        match link.advance(io).and_then(|()| link.check_open(io)) {
            Ok(()) => None,
            Err(_) => self.close_lost(io, key),
        }
    }

    /// Writes the queued output of a link. Returns the link if it was lost.
    pub fn flush(&mut self, io: &mut IoContext, token: Token) -> Option<LostLink<R>> {
        let key = OutgoingLinkKey::from(token);
        let link = self.links.get_mut(key)?;
        match link.advance(io) {
            Ok(()) => None,
            Err(_) => self.close_lost(io, key),
        }
    }

    /// Shuts down the sending side of all links. The kernel still delivers the data written before.
    pub fn shutdown_write(&mut self) {
        for (_, link) in self.links.iter() {
            link.stream.shutdown_write();
        }
    }

    /// Closes a link that was not established before its deadline, and returns it.
    pub fn expire(&mut self, io: &mut IoContext, token: Token) -> Option<LostLink<R>> {
        let key = OutgoingLinkKey::from(token);
        let link = self.links.get(key)?;
        let due = link.deadline_us.is_some_and(|deadline_us| deadline_us <= io.now_us);
        if due { self.close_lost(io, key) } else { None }
    }

    fn close_lost(&mut self, io: &mut IoContext, key: OutgoingLinkKey) -> Option<LostLink<R>> {
        let mut link = self.links.remove(key)?;
        self.by_host.remove(&link.host);
        // The socket is closed right after; a failure to deregister it changes nothing.
        let _ = io.registry.deregister(&mut link.stream.tcp);
        io.metrics.link_losses.inc();
        let in_doubt = link.stream.output.written_bytes() > link.hello_bytes;
        link.drop_written_requests();
        let unsent = link.unwritten.into_iter().map(|(_, request)| request).collect();
        Some(LostLink { host: link.host, unsent, in_doubt })
    }

    /// Whether everything that was queued has been written.
    #[must_use]
    pub fn is_flushed(&self) -> bool {
        self.links.iter().all(|(_, link)| link.stream.output.is_empty())
    }
}

impl<R> OutgoingLink<R> {
    fn advance(&mut self, io: &mut IoContext) -> std::io::Result<()> {
        if !self.connected {
            self.connected = is_connected(&self.stream.tcp)?;
            if !self.connected {
                return Ok(());
            }
            self.deadline_us = None;
        }
        let written_bytes = self.stream.flush()?;
        io.metrics.link_sent_bytes.inc_by(written_bytes);
        self.drop_written_requests();
        Ok(())
    }

    /// Detects that the receiver has closed the link. The receiver never sends data on it.
    fn check_open(&mut self, io: &mut IoContext) -> std::io::Result<()> {
        if !self.connected {
            return Ok(());
        }
        self.stream.start_reading();
        match self.stream.read(&mut io.scratch, 1) {
            ReadOutcome::Drained => Ok(()),
            ReadOutcome::Data(_) | ReadOutcome::Closed => {
                Err(std::io::ErrorKind::ConnectionAborted.into())
            }
        }
    }

    fn drop_written_requests(&mut self) {
        let written_bytes = self.stream.output.written_bytes();
        while self.unwritten.front().is_some_and(|(start_bytes, _)| *start_bytes < written_bytes) {
            self.unwritten.pop_front();
        }
    }
}

/// Why a message was not sent. No byte of it has been or will be written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendError {
    /// No link to the host can be opened, or its unwritten output has reached the limit.
    Unreachable,
    /// The message is larger than a frame.
    TooLarge,
}
