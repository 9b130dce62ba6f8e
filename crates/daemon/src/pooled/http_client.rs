//! HTTP client, with one connection per call.

use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::time::Duration;

use flamingorock_core::arena::Arena;
use flamingorock_jardinet::{HttpResponse, parse_response};
use mio::net::TcpStream;
use mio::{Interest, Registry};
use socket2::SockRef;

use crate::net::{OutgoingHttpKey, is_connected};

const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Size limit of a response, above the size of the store's largest page.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// A call in flight.
#[derive(Debug)]
struct HttpCall<T> {
    tcp: TcpStream,
    request: Vec<u8>,
    /// Bytes of the request that have been written.
    sent_bytes: usize,
    response: Vec<u8>,
    deadline_us: u64,
    /// Whether the connection is reset when the call times out, so that its request cannot arrive
    /// later.
    reset_on_timeout: bool,
    /// Returned to the caller of the client with the outcome.
    context: T,
}

/// Table of the calls in flight.
#[derive(Debug)]
pub struct HttpClient<T> {
    calls: Arena<OutgoingHttpKey, HttpCall<T>>,
}

/// Context and response of a call that has ended. Without a response it is unknown whether the call
/// took effect.
pub type CompletedCall<T> = (T, Option<HttpResponse>);

impl<T> HttpClient<T> {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self { calls: Arena::new() }
    }

    /// Starts a call. Returns the context if no connection can be opened.
    pub fn start(
        &mut self,
        registry: &Registry,
        address: SocketAddr,
        request: Vec<u8>,
        deadline_us: u64,
        reset_on_timeout: bool,
        context: T,
    ) -> Result<(), T> {
        let Ok(tcp) = TcpStream::connect(address) else { return Err(context) };
        let call = HttpCall {
            tcp,
            request,
            sent_bytes: 0,
            response: Vec::new(),
            deadline_us,
            reset_on_timeout,
            context,
        };
        let key = self.calls.insert(call);
        let Some(call) = self.calls.get_mut(key) else { return Ok(()) };
        let interest = Interest::READABLE | Interest::WRITABLE;
        if registry.register(&mut call.tcp, key.into(), interest).is_err() {
            return Err(self.calls.remove(key).expect("inserted above").context);
        }
        Ok(())
    }

    /// Continues a call whose socket is ready. Returns the call if it has ended.
    pub fn advance(&mut self, key: OutgoingHttpKey, now_us: u64) -> Option<CompletedCall<T>> {
        let call = self.calls.get_mut(key)?;
        if call.sent_bytes == 0 && call.deadline_us <= now_us {
            // The connection has opened too late, or this process was suspended meanwhile.
            return self.time_out(key);
        }
        let outcome = match call.write() {
            Ok(()) => call.read(),
            Err(()) => Err(()),
        };
        match outcome {
            Ok(None) => None,
            Ok(Some(response)) => self.calls.remove(key).map(|call| (call.context, Some(response))),
            Err(()) => self.calls.remove(key).map(|call| (call.context, None)),
        }
    }

    /// Ends the calls whose deadline has passed, without a response.
    pub fn expire(&mut self, now_us: u64) -> Vec<CompletedCall<T>> {
        let due = self.calls.keys_where(|call| call.deadline_us <= now_us);
        due.into_iter().filter_map(|key| self.time_out(key)).collect()
    }

    /// Abandons the calls whose context matches.
    pub fn abandon(&mut self, is_abandoned: impl Fn(&T) -> bool) {
        for key in self.calls.keys_where(|call| is_abandoned(&call.context)) {
            self.time_out(key);
        }
    }

    fn time_out(&mut self, key: OutgoingHttpKey) -> Option<CompletedCall<T>> {
        let call = self.calls.remove(key)?;
        if call.reset_on_timeout {
            // With a linger time of zero the kernel discards unsent data and resets the connection.
            // If the option cannot be set, the validity of the claim still limits when the call can
            // take effect.
            let _ = SockRef::from(&call.tcp).set_linger(Some(Duration::ZERO));
        }
        Some((call.context, None))
    }

    /// Earliest deadline of the calls in flight.
    pub fn next_deadline_us(&self) -> Option<u64> {
        self.calls.iter().map(|(_, call)| call.deadline_us).min()
    }
}

impl<T> HttpCall<T> {
    /// Writes as much of the request as the socket takes, once it is connected.
    fn write(&mut self) -> Result<(), ()> {
        if self.sent_bytes == 0 && !is_connected(&self.tcp).map_err(drop)? {
            return Ok(());
        }
        while self.sent_bytes < self.request.len() {
            match self.tcp.write(&self.request[self.sent_bytes..]) {
                Ok(count) => self.sent_bytes += count,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Err(()),
            }
        }
        Ok(())
    }

    /// Reads what has arrived. Returns the response if it is complete.
    fn read(&mut self) -> Result<Option<HttpResponse>, ()> {
        if self.sent_bytes == 0 {
            return Ok(None);
        }
        let mut bytes = [0; READ_BUFFER_BYTES];
        let is_closed = loop {
            match self.tcp.read(&mut bytes) {
                Ok(0) => break true,
                Ok(count) => self.response.extend_from_slice(&bytes[..count]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break false,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Err(()),
            }
            if self.response.len() > MAX_RESPONSE_BYTES {
                return Err(());
            }
        };
        if self.response.is_empty() {
            return if is_closed { Err(()) } else { Ok(None) };
        }
        parse_response(&self.response, is_closed).map_err(|reason| {
            tracing::warn!(event = "answer_unreadable", reason);
        })
    }
}
