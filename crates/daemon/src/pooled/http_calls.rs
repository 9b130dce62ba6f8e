//! Calls over HTTP, one connection each.

use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::time::Duration;

use flamingorock_core::arena::Arena;
use flamingorock_jardinet::{HttpResponse, parse_response};
use mio::net::TcpStream;
use mio::{Interest, Registry};
use socket2::SockRef;

use crate::net::{OutgoingHttpKey, is_connected};

const READ_BYTES: usize = 16 * 1024;
/// Largest answer that is taken, above the store's largest page.
const ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// A call on its way, with what it is for.
#[derive(Debug)]
struct HttpCall<T> {
    tcp: TcpStream,
    request: Vec<u8>,
    sent: usize,
    answer: Vec<u8>,
    deadline_us: u64,
    /// Whether the connection is reset at the deadline, so that nothing of it arrives later.
    resets: bool,
    purpose: T,
}

/// Calls on their way.
#[derive(Debug)]
pub struct HttpCalls<T> {
    calls: Arena<OutgoingHttpKey, HttpCall<T>>,
}

/// A call that has ended; without an answer nothing is known of what was done.
pub type Ended<T> = (T, Option<HttpResponse>);

impl<T> HttpCalls<T> {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self { calls: Arena::new() }
    }

    /// Starts a call. Gives the purpose back if no connection can be opened.
    pub fn start(
        &mut self,
        registry: &Registry,
        address: SocketAddr,
        request: Vec<u8>,
        deadline_us: u64,
        resets: bool,
        purpose: T,
    ) -> Result<(), T> {
        let Ok(tcp) = TcpStream::connect(address) else { return Err(purpose) };
        let call =
            HttpCall { tcp, request, sent: 0, answer: Vec::new(), deadline_us, resets, purpose };
        let key = self.calls.insert(call);
        let Some(call) = self.calls.get_mut(key) else { return Ok(()) };
        let interest = Interest::READABLE | Interest::WRITABLE;
        if registry.register(&mut call.tcp, key.into(), interest).is_err() {
            return Err(self.calls.remove(key).expect("inserted above").purpose);
        }
        Ok(())
    }

    /// Goes on with a call whose socket is ready.
    pub fn advance(&mut self, key: OutgoingHttpKey) -> Option<Ended<T>> {
        let call = self.calls.get_mut(key)?;
        let is_over = match call.write() {
            Ok(()) => call.read(),
            Err(()) => Err(()),
        };
        match is_over {
            Ok(None) => None,
            Ok(Some(answer)) => self.calls.remove(key).map(|call| (call.purpose, Some(answer))),
            Err(()) => self.calls.remove(key).map(|call| (call.purpose, None)),
        }
    }

    /// Gives up the calls whose deadline is reached.
    pub fn expire(&mut self, now_us: u64) -> Vec<Ended<T>> {
        let due = self.calls.keys_where(|call| call.deadline_us <= now_us);
        due.into_iter().filter_map(|key| self.give_up(key)).collect()
    }

    fn give_up(&mut self, key: OutgoingHttpKey) -> Option<Ended<T>> {
        let call = self.calls.remove(key)?;
        if call.resets {
            // The system sends a reset instead of what it still holds. If the option is refused the
            // claim's validity still bounds the call.
            let _ = SockRef::from(&call.tcp).set_linger(Some(Duration::ZERO));
        }
        Some((call.purpose, None))
    }

    /// The earliest deadline.
    pub fn next_deadline_us(&self) -> Option<u64> {
        self.calls.iter().map(|(_, call)| call.deadline_us).min()
    }
}

impl<T> HttpCall<T> {
    fn write(&mut self) -> Result<(), ()> {
        if self.sent == 0 && !is_connected(&self.tcp).map_err(drop)? {
            return Ok(());
        }
        while self.sent < self.request.len() {
            match self.tcp.write(&self.request[self.sent..]) {
                Ok(count) => self.sent += count,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Err(()),
            }
        }
        Ok(())
    }

    fn read(&mut self) -> Result<Option<HttpResponse>, ()> {
        if self.sent == 0 {
            return Ok(None);
        }
        let mut bytes = [0; READ_BYTES];
        let is_closed = loop {
            match self.tcp.read(&mut bytes) {
                Ok(0) => break true,
                Ok(count) => self.answer.extend_from_slice(&bytes[..count]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break false,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Err(()),
            }
            if self.answer.len() > ANSWER_BYTES {
                return Err(());
            }
        };
        if self.answer.is_empty() {
            return if is_closed { Err(()) } else { Ok(None) };
        }
        parse_response(&self.answer, is_closed).map_err(|reason| {
            tracing::warn!(event = "answer_unreadable", reason);
        })
    }
}
