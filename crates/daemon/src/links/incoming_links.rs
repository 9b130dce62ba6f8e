//! Links that other proxies open to this one.

use std::collections::BTreeSet;

use bytes::BytesMut;
use flamingorock_core::HostId;
use flamingorock_core::arena::Arena;
use flamingorock_peer::{Frame, FrameDecoder, LinkPurpose};
use mio::Token;
use mio::net::{TcpListener, TcpStream};

use crate::io_context::IoContext;
use crate::net::{
    IncomingLinkKey, PEER_TCP_TIMEOUT, READ_BUDGET_BYTES, ReadOutcome, Stream, accept_all,
    set_stream_options,
};

/// Time from accepting a link until its first frame must have arrived.
const HELLO_TIMEOUT_US: u64 = 10_000_000;

/// Maximum number of open links, including connections that have not identified themselves. Allows
/// several links for each of 500 hosts.
const LINKS_LIMIT: usize = 4096;

#[derive(Debug)]
struct IncomingLink {
    stream: Stream,
    input: BytesMut,
    decoder: FrameDecoder,
}

/// An identified link that was closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClosedLink {
    /// Host at the other end.
    pub host: HostId,
    /// Kind of thread that opened the link.
    pub purpose: LinkPurpose,
}

/// Table of the links that other proxies have opened to one traffic thread.
#[derive(Debug)]
pub struct IncomingLinks {
    hosts: BTreeSet<HostId>,
    links: Arena<IncomingLinkKey, IncomingLink>,
}

impl IncomingLinks {
    /// Creates the table. Links from hosts that are not in `hosts` are closed.
    #[must_use]
    pub fn new(hosts: BTreeSet<HostId>) -> Self {
        Self { hosts, links: Arena::new() }
    }

    /// Accepts the pending connections of a listener. Returns whether accepting failed and is to be
    /// retried later.
    pub fn accept(&mut self, io: &mut IoContext, listener: &TcpListener) -> bool {
        accept_all(listener, |tcp| {
            if self.links.len() < LINKS_LIMIT {
                // If the setup of one connection fails, only that connection is dropped.
                let _ = self.add(io, tcp);
            }
        })
    }

    fn add(&mut self, io: &mut IoContext, tcp: TcpStream) -> std::io::Result<()> {
        set_stream_options(&tcp, PEER_TCP_TIMEOUT)?;
        let deadline_us = io.now_us + HELLO_TIMEOUT_US;
        let stream = Stream::new(tcp, 0);
        let link = IncomingLink { stream, input: BytesMut::new(), decoder: FrameDecoder::new() };
        let key = self.links.insert(link);
        let link = self.links.get_mut(key).expect("just inserted");
        if let Err(error) = io.register(&mut link.stream.tcp, key.into()) {
            self.links.remove(key);
            return Err(error);
        }
        io.deadlines.add(deadline_us, key.into());
        Ok(())
    }

    /// Reads a link and passes its frames to `deliver`. Returns the link if it was closed after
    /// identifying itself.
    pub fn ready(
        &mut self,
        io: &mut IoContext,
        token: Token,
        mut deliver: impl FnMut(HostId, Frame),
    ) -> Option<ClosedLink> {
        let key = IncomingLinkKey::from(token);
        let link = self.links.get_mut(key)?;
        match link.advance(io, &self.hosts, &mut deliver) {
            NextStep::Wait => None,
            NextStep::ReadAgain => {
                io.pending_reads.push_back(token);
                None
            }
            NextStep::Close => self.close(io, key),
        }
    }

    /// Closes a link whose first frame has not arrived in time.
    pub fn expire(&mut self, io: &mut IoContext, token: Token) {
        let key = IncomingLinkKey::from(token);
        let silent = self.links.get(key).is_some_and(|link| link.decoder.hello().is_none());
        if silent {
            self.close(io, key);
        }
    }

    fn close(&mut self, io: &mut IoContext, key: IncomingLinkKey) -> Option<ClosedLink> {
        let mut link = self.links.remove(key)?;
        // The socket is closed right after; a failure to deregister it changes nothing.
        let _ = io.registry.deregister(&mut link.stream.tcp);
        let hello = link.decoder.hello()?;
        Some(ClosedLink { host: hello.host, purpose: hello.purpose })
    }
}

/// What to do next with a link.
enum NextStep {
    /// Wait for the next event.
    Wait,
    /// The read budget is used up; read again in the next wake-up.
    ReadAgain,
    /// Close the link.
    Close,
}

impl IncomingLink {
    fn advance(
        &mut self,
        io: &mut IoContext,
        hosts: &BTreeSet<HostId>,
        deliver: &mut impl FnMut(HostId, Frame),
    ) -> NextStep {
        let mut total_bytes = 0;
        self.stream.start_reading();
        while total_bytes < READ_BUDGET_BYTES {
            match self.stream.read(&mut io.scratch, usize::MAX) {
                ReadOutcome::Data(bytes) => {
                    total_bytes += bytes.len();
                    self.input.extend_from_slice(bytes);
                    io.metrics.link_received_bytes.inc_by(bytes.len() as u64);
                }
                ReadOutcome::Drained => return NextStep::Wait,
                ReadOutcome::Closed => return NextStep::Close,
            }
            if self.decode(io, hosts, deliver).is_err() {
                return NextStep::Close;
            }
        }
        NextStep::ReadAgain
    }

    fn decode(
        &mut self,
        io: &IoContext,
        hosts: &BTreeSet<HostId>,
        deliver: &mut impl FnMut(HostId, Frame),
    ) -> Result<(), ProtocolViolation> {
        loop {
            match self.decoder.next_frame(&mut self.input) {
                Ok(None) => break,
                Ok(Some(Frame::Hello(hello))) if hosts.contains(&hello.host) => {}
                Ok(Some(Frame::Hello(hello))) => {
                    let host = hello.host;
                    tracing::warn!(%host, "link from a host that is not in the settings");
                    return Err(ProtocolViolation);
                }
                Ok(Some(frame)) => {
                    io.metrics.link_frames_received.inc();
                    let hello = self.decoder.hello().expect("the first frame has been decoded");
                    deliver(hello.host, frame);
                }
                Err(error) => {
                    io.metrics.link_frames_malformed.inc();
                    tracing::debug!(%error, "link closed because of a malformed frame");
                    return Err(ProtocolViolation);
                }
            }
        }
        // Frees the buffer, so that idle links use no memory for it.
        if self.input.is_empty() {
            self.input = BytesMut::new();
        }
        Ok(())
    }
}

/// The link sent a malformed frame or comes from an unknown host, and must be closed.
struct ProtocolViolation;
