//! Event loop of the control thread.

use std::sync::Arc;

use flamingorock_core::configuration::Configuration;
use flamingorock_core::control::{Action, Control, Event};
use flamingorock_core::{InstanceCallKey, View};
use flamingorock_frontend::FunctionGroupProtocol;
use flamingorock_peer::{Hello, LinkPurpose};
use mio::{Interest, Token};

use super::{ControlParts, Drain, ExitReason, HeartbeatSocket, Signals, StorePool, ViewPublisher};
use crate::error::DaemonError;
use crate::io_context::IoContext;
use crate::links::OutgoingLinks;
use crate::machine_driver::MachineDriver;
use crate::monitors::Monitors;
use crate::net::{SocketTable, bind_udp};
use crate::poller::{Poller, Ready};
use crate::thread_messages::ControlThreadMessage;

pub(super) const SIGNALS: Token = Token(1);
pub(super) const HEARTBEATS: Token = Token(2);

/// Delay before a view is sent again to a traffic thread whose mailbox was full.
const RETRY_US: u64 = 10_000;

/// Maximum number of messages handled in one wake-up, so that sockets and timers are not delayed
/// indefinitely.
const MESSAGE_BUDGET: usize = 1024;

/// The control thread: its state machine, its sockets and its mailbox.
pub struct ControlThread {
    /// Name of the host.
    pub(super) name: String,
    pub(super) poller: Poller<ControlThreadMessage>,
    pub(super) io: IoContext,
    pub(super) machine: MachineDriver<Control>,
    pub(super) signals: Signals,
    pub(super) heartbeats: HeartbeatSocket,
    pub(super) links: OutgoingLinks<()>,
    pub(super) monitors: Monitors<InstanceCallKey, FunctionGroupProtocol>,
    pub(super) store: StorePool,
    pub(super) publisher: ViewPublisher,
    pub(super) drain: Drain,
    /// The newest configuration that was parsed, for the addresses of instances and the names of
    /// databases. It can be newer than the one in the view.
    pub(super) configuration: Arc<Configuration>,
    pub(super) view: Arc<View>,
    /// Set if the process must exit without finishing the shutdown.
    pub(super) exit: Option<ExitReason>,
    /// Whether the mailbox may hold messages beyond the budget of the last wake-up.
    has_queued_messages: bool,
    /// When to retry a view that full mailboxes did not take.
    retry_us: Option<u64>,
    ready: Vec<Ready>,
}

impl ControlThread {
    /// Opens the sockets of the thread.
    ///
    /// # Errors
    ///
    /// An address is in use, or the system is out of file descriptors.
    pub fn new(
        poller: Poller<ControlThreadMessage>,
        parts: ControlParts,
    ) -> Result<Self, DaemonError> {
        let starting = || DaemonError::starting("the control thread");
        let settings = &parts.settings;
        let address = settings.listen.peers;
        let socket = bind_udp(address).map_err(|error| DaemonError::Listen {
            purpose: "heartbeats",
            address,
            error,
        })?;
        let mut heartbeats = HeartbeatSocket::new(socket, settings.peers.clone());
        let mut signals = Signals::install().map_err(starting())?;
        let registry = poller.registry().map_err(starting())?;
        let readable = Interest::READABLE;
        registry.register(signals.receiver_mut(), SIGNALS, readable).map_err(starting())?;
        registry.register(heartbeats.socket_mut(), HEARTBEATS, readable).map_err(starting())?;
        let hello = Hello::new(settings.host.id, LinkPurpose::Control);
        let drain_timeout_us = u64::from(settings.drain.deadline_ms) * 1000;
        Ok(Self {
            name: settings.host.name.clone(),
            poller,
            io: IoContext::new(registry, parts.clock, Arc::clone(&parts.metrics)),
            machine: MachineDriver::new(parts.machine),
            signals,
            heartbeats,
            links: OutgoingLinks::new(hello, settings.peers.clone()),
            monitors: Monitors::new(FunctionGroupProtocol),
            store: parts.store,
            publisher: ViewPublisher::new(parts.traffic),
            drain: Drain::new(drain_timeout_us, settings.traffic.threads),
            configuration: Arc::default(),
            view: Arc::default(),
            exit: None,
            has_queued_messages: false,
            retry_us: None,
            ready: Vec::new(),
        })
    }

    /// Runs until the process is to exit. Returns the reason.
    pub fn run(mut self) -> ExitReason {
        loop {
            self.wait();
            self.handle_events();
            self.handle_messages();
            self.expire();
            self.machine.tick(self.io.now_us);
            self.io.metrics.control_ticks.inc();
            self.perform_actions();
            self.flush();
            if let Some(exit) = self.exit.or_else(|| self.drain.exit(self.io.now_us)) {
                return exit;
            }
        }
    }

    /// Blocks until a socket is ready, a message arrives or a deadline passes.
    fn wait(&mut self) {
        let deadlines = [
            self.has_queued_messages.then_some(0),
            self.machine.next_deadline_us(),
            self.drain.deadline_us(),
            self.retry_us,
        ];
        self.io.wait(&mut self.poller, &deadlines, &mut self.ready);
    }

    fn handle_events(&mut self) {
        let ready = core::mem::take(&mut self.ready);
        for &Ready { token, read_until_would_block } in &ready {
            self.io.scratch.read_until_would_block = read_until_would_block;
            match token {
                SIGNALS => self.handle_signals(),
                HEARTBEATS => self.receive_heartbeats(),
                _ => self.handle_socket(token),
            }
        }
        self.io.scratch.read_until_would_block = true;
        self.ready = ready;
    }

    fn handle_socket(&mut self, token: Token) {
        match SocketTable::of(token) {
            Some(SocketTable::Monitors) => {
                let machine = &mut self.machine;
                self.monitors.ready(&mut self.io, token, |call, result| {
                    machine.push(Event::InstanceCallCompleted { call, result });
                });
            }
            // Control messages are repeated by their senders, so the loss of a link is not
            // reported.
            Some(SocketTable::OutgoingLinks) => drop(self.links.ready(&mut self.io, token)),
            _ => {}
        }
    }

    fn handle_signals(&mut self) {
        for _ in 0..self.signals.take_count() {
            if self.request_drain() {
                tracing::info!("shutdown requested by a signal");
            } else {
                self.exit = Some(ExitReason::SecondSignal);
            }
        }
    }

    /// Starts the shutdown. Returns `false` if it had been started before.
    pub(super) fn request_drain(&mut self) -> bool {
        let first = self.drain.request(self.io.now_us);
        if first {
            self.machine.push(Event::DrainRequested);
        }
        first
    }

    fn receive_heartbeats(&mut self) {
        let machine = &mut self.machine;
        let more = self.heartbeats.receive(&self.io.metrics, |heartbeat| {
            machine.push(Event::HeartbeatReceived(heartbeat));
        });
        if more {
            self.io.pending_reads.push_back(HEARTBEATS);
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
                Some(SocketTable::Monitors) => {
                    let machine = &mut self.machine;
                    self.monitors.expire(&mut self.io, token, |call, result| {
                        machine.push(Event::InstanceCallCompleted { call, result });
                    });
                }
                Some(SocketTable::OutgoingLinks) => drop(self.links.expire(&mut self.io, token)),
                _ => {}
            }
        }
    }

    fn perform_actions(&mut self) {
        let actions: Vec<Action> = self.machine.machine_mut().drain_actions().collect();
        for action in actions {
            self.perform(action);
        }
    }

    fn flush(&mut self) {
        let dirty = core::mem::take(&mut self.io.dirty);
        for token in dirty {
            self.handle_socket(token);
        }
        let all_sent = self.publisher.flush();
        self.retry_us = (!all_sent).then_some(self.io.now_us + RETRY_US);
    }
}
