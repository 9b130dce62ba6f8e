//! Event loop of a traffic thread.

use std::sync::Arc;

use flamingorock_core::traffic::{Event, Traffic, TrafficConfig};
use flamingorock_core::{HostId, RequestKey, View};
use flamingorock_frontend::FunctionGroupProtocol;
use flamingorock_peer::{Hello, LinkPurpose};
use mio::net::TcpListener;
use mio::{Interest, Token};

use super::{Backends, Callers, Cancels, ProbeTag, Router, TrafficParts, push_probe_result};
use crate::error::DaemonError;
use crate::io_context::IoContext;
use crate::links::{IncomingLinks, LostLink, OutgoingLinks};
use crate::machine_driver::MachineDriver;
use crate::metrics::ThreadLabel;
use crate::monitors::Monitors;
use crate::net::{ACCEPT_RETRY_US, SocketTable, listen};
use crate::poller::{Poller, Ready};
use crate::thread_messages::{ControlThreadMessage, TrafficThreadMessage};

const CALLERS: Token = Token(1);
const PEERS: Token = Token(2);

/// Delay before messages to a thread whose mailbox was full are sent again.
const RETRY_US: u64 = 1_000;

/// Maximum number of messages handled in one wake-up, so that sockets and timers are not delayed
/// indefinitely.
const MESSAGE_BUDGET: usize = 4096;

/// A traffic thread: its state machine, its sockets and its mailbox.
pub struct TrafficThread {
    pub(super) poller: Poller<TrafficThreadMessage>,
    pub(super) io: IoContext,
    pub(super) machine: MachineDriver<Traffic>,
    pub(super) config: TrafficConfig,
    pub(super) callers: Callers,
    pub(super) backends: Backends,
    pub(super) cancels: Cancels,
    pub(super) monitors: Monitors<ProbeTag, FunctionGroupProtocol>,
    pub(super) incoming: IncomingLinks,
    pub(super) outgoing: OutgoingLinks<RequestKey>,
    pub(super) router: Router,
    pub(super) view: Arc<View>,
    pub(super) stopped: bool,
    /// Whether the mailbox may hold messages beyond the budget of the last wake-up.
    has_queued_messages: bool,
    /// `None` once the process is shutting down.
    caller_listener: Option<TcpListener>,
    peer_listener: TcpListener,
    idle_reported: bool,
    /// When to retry messages that full mailboxes did not take.
    retry_us: Option<u64>,
    ready: Vec<Ready>,
}

impl TrafficThread {
    /// Opens the listeners of the thread.
    ///
    /// # Errors
    ///
    /// An address is in use, or the system is out of file descriptors.
    pub fn new(
        poller: Poller<TrafficThreadMessage>,
        parts: TrafficParts,
    ) -> Result<Self, DaemonError> {
        let settings = &parts.settings;
        let registry = poller.registry().map_err(DaemonError::starting("a traffic thread"))?;
        let open = |address, purpose, token| {
            let open = || {
                let mut listener = listen(address)?;
                registry.register(&mut listener, token, Interest::READABLE)?;
                Ok(listener)
            };
            open().map_err(|error| DaemonError::Listen { purpose, address, error })
        };
        let caller_listener = open(settings.listen.callers, "callers", CALLERS)?;
        let peer_listener = open(settings.listen.peers, "peers", PEERS)?;
        let from_thread = parts.config.thread;
        let hello = Hello::new(settings.host.id, LinkPurpose::Traffic { from_thread });
        let router = Router::new(parts.config.clone(), parts.threads, parts.control);
        let io = IoContext::new(registry, parts.clock, parts.metrics);
        Ok(Self {
            poller,
            io,
            machine: MachineDriver::new(Traffic::new(parts.config.clone())),
            callers: Callers::new(&parts.config, settings.traffic.callers_limit),
            config: parts.config,
            backends: Backends::default(),
            cancels: Cancels::default(),
            monitors: Monitors::new(FunctionGroupProtocol),
            incoming: IncomingLinks::new(settings.peers.keys().copied().collect()),
            outgoing: OutgoingLinks::new(hello, settings.peers.clone()),
            router,
            view: Arc::default(),
            stopped: false,
            has_queued_messages: false,
            caller_listener: Some(caller_listener),
            peer_listener,
            idle_reported: false,
            retry_us: None,
            ready: Vec::new(),
        })
    }

    /// Runs until the control thread stops it.
    pub fn run(mut self) {
        let label = ThreadLabel { thread: self.config.thread };
        let ticks = self.io.metrics.traffic_ticks.get_or_create(&label).clone();
        let waiting = self.io.metrics.mailbox_waiting.get_or_create(&label).clone();
        while !self.stopped {
            self.wait();
            self.handle_events();
            self.handle_messages();
            self.expire();
            self.machine.tick(self.io.now_us);
            ticks.inc();
            self.perform_actions();
            self.flush();
            let unsent = self.router.flush();
            waiting.set(i64::try_from(unsent).unwrap_or(i64::MAX));
            self.retry_us = (unsent > 0).then_some(self.io.now_us + RETRY_US);
            self.report_idle();
        }
        // Half-closes the links, so that the responses written last still reach the other proxies.
        self.outgoing.shutdown_write();
    }

    /// Blocks until a socket is ready, a message arrives or a deadline passes.
    fn wait(&mut self) {
        let deadlines =
            [self.has_queued_messages.then_some(0), self.machine.next_deadline_us(), self.retry_us];
        self.io.wait(&mut self.poller, &deadlines, &mut self.ready);
    }

    fn handle_events(&mut self) {
        let ready = core::mem::take(&mut self.ready);
        for &Ready { token, read_until_would_block } in &ready {
            self.io.scratch.read_until_would_block = read_until_would_block;
            match token {
                CALLERS => self.accept_callers(),
                PEERS => self.accept_peers(),
                _ => self.handle_socket(token),
            }
        }
        self.io.scratch.read_until_would_block = true;
        self.ready = ready;
    }

    fn accept_callers(&mut self) {
        if let Some(listener) = &self.caller_listener {
            let retry = self.callers.accept(&mut self.io, listener);
            self.retry_accept(retry, CALLERS);
        }
    }

    fn accept_peers(&mut self) {
        let retry = self.incoming.accept(&mut self.io, &self.peer_listener);
        self.retry_accept(retry, PEERS);
    }

    fn retry_accept(&mut self, retry: bool, listener: Token) {
        if retry {
            self.io.deadlines.add(self.io.now_us + ACCEPT_RETRY_US, listener);
        }
    }

    /// Handles readiness of a socket, and writes output that was queued for it.
    fn handle_socket(&mut self, token: Token) {
        match SocketTable::of(token) {
            Some(SocketTable::Callers) => self.handle_caller_socket(token),
            Some(SocketTable::Backends) => {
                self.backends.ready(&mut self.io, &mut self.machine, token);
            }
            Some(SocketTable::Monitors) => {
                let machine = &mut self.machine;
                self.monitors.ready(&mut self.io, token, |tag, result| {
                    push_probe_result(machine, tag, result);
                });
            }
            Some(SocketTable::IncomingLinks) => self.handle_incoming_link(token),
            Some(SocketTable::OutgoingLinks) => {
                let loss = self.outgoing.ready(&mut self.io, token);
                self.report_lost_link(loss);
            }
            Some(SocketTable::Cancels) => self.cancels.ready(&mut self.io, token),
            // Tables of the pooled mode.
            Some(SocketTable::OutgoingHttp | SocketTable::IncomingHttp) | None => {}
        }
    }

    fn handle_messages(&mut self) {
        for _ in 0..MESSAGE_BUDGET {
            let Some(message) = self.poller.try_recv() else {
                self.has_queued_messages = false;
                return;
            };
            self.handle_message(message);
        }
        self.has_queued_messages = true;
    }

    fn expire(&mut self) {
        while let Some(token) = self.io.deadlines.pop_due(self.io.now_us) {
            match SocketTable::of(token) {
                Some(SocketTable::Callers) => {
                    self.callers.expire(&mut self.io, &mut self.machine, token);
                }
                Some(SocketTable::Backends) => {
                    self.backends.expire(&mut self.io, &mut self.machine, token);
                }
                Some(SocketTable::Monitors) => {
                    let machine = &mut self.machine;
                    self.monitors.expire(&mut self.io, token, |tag, result| {
                        push_probe_result(machine, tag, result);
                    });
                }
                Some(SocketTable::IncomingLinks) => self.incoming.expire(&mut self.io, token),
                Some(SocketTable::OutgoingLinks) => {
                    let loss = self.outgoing.expire(&mut self.io, token);
                    self.report_lost_link(loss);
                }
                Some(SocketTable::Cancels) => self.cancels.expire(&mut self.io, token),
                // Tables of the pooled mode.
                Some(SocketTable::OutgoingHttp | SocketTable::IncomingHttp) => {}
                None if token == CALLERS => self.accept_callers(),
                None => self.accept_peers(),
            }
        }
    }

    fn perform_actions(&mut self) {
        let actions: Vec<_> = self.machine.machine_mut().drain_actions().collect();
        for action in actions {
            self.perform(action);
        }
    }

    /// Reports the loss of an outgoing link to the machine: each request that was not sent and, if
    /// other data may be lost, the link as a whole.
    pub(super) fn report_lost_link(&mut self, loss: Option<LostLink<RequestKey>>) {
        let Some(loss) = loss else { return };
        for request in loss.unsent {
            self.machine.push(Event::SendFailed { host: loss.host, request });
        }
        if loss.in_doubt {
            self.machine.push(Event::LinkLost { host: loss.host });
        }
    }

    /// Reports the loss of an incoming link to all traffic threads: the responses that it would
    /// have carried can be for callers of any of them.
    pub(super) fn report_closed_link(&mut self, host: HostId) {
        self.machine.push(Event::LinkLost { host });
        self.router.send_to_other_threads(|| TrafficThreadMessage::LinkLost { host });
    }

    /// Closes the listener for callers when the process shuts down. Connections that are already in
    /// its backlog are accepted first, so that these callers get the error of a shutdown.
    pub(super) fn close_listener(&mut self) {
        self.accept_callers();
        if let Some(mut listener) = self.caller_listener.take() {
            // The socket is closed right after; a failure to deregister it changes nothing.
            let _ = self.io.registry.deregister(&mut listener);
        }
    }

    /// Reports once, while shutting down, that no callers are left and all output has been written.
    fn report_idle(&mut self) {
        let idle = self.view.draining && self.callers.is_empty() && self.outgoing.is_flushed();
        if idle && !self.idle_reported && self.retry_us.is_none() {
            self.idle_reported = true;
            self.router
                .send_to_control(ControlThreadMessage::TrafficIdle { thread: self.config.thread });
        }
    }
}
