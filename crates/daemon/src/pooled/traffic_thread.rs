//! Event loop of the traffic thread.

use std::collections::VecDeque;
use std::net::SocketAddr;

use flamingorock_pool::traffic::{
    Action, Decision, Event, MetricEvent, Report, Traffic, TrafficConfig,
};
use mio::net::TcpListener;
use mio::{Interest, Registry, Token};

use super::backends::Backends;
use super::callers::Callers;
use super::decision_log::DecisionLog;
use super::metrics::PooledMetrics;
use super::thread_messages::{ControlThreadMessage, TrafficThreadMessage};
use crate::clock::Clock;
use crate::error::DaemonError;
use crate::mailbox::MailboxSender;
use crate::net::{ACCEPT_RETRY_US, Scratch, SocketTable, accept_all, listen};
use crate::poller::{Poller, Ready};

const CALLERS: Token = Token(1);

/// Delay before reports are sent again to a control thread whose mailbox was full.
const MAILBOX_RETRY_US: u64 = 1_000;

/// Settings and shared state that the traffic thread is created with.
pub struct TrafficParts {
    pub config: TrafficConfig,
    pub callers_address: SocketAddr,
    pub clock: Clock,
    pub metrics: PooledMetrics,
    pub control: MailboxSender<ControlThreadMessage>,
}

/// The traffic thread: its state machine and its sockets.
pub struct TrafficThread {
    poller: Poller<TrafficThreadMessage>,
    registry: Registry,
    machine: Traffic,
    /// Listener for callers, until it is closed by a shutdown.
    listener: Option<TcpListener>,
    callers: Callers,
    backends: Backends,
    scratch: Scratch,
    parts: TrafficParts,
    log: DecisionLog,
    /// Reports queued because the control thread's mailbox was full.
    queued_reports: VecDeque<Report>,
    /// Time at which a shutdown closes the listener.
    close_listener_us: Option<u64>,
    /// Time at which a failed accept or a full mailbox of the control thread is tried again.
    retry_us: Option<u64>,
    /// Sockets that may have more to read although the poll does not report them again.
    pending_reads: Vec<Token>,
}

impl TrafficThread {
    /// Opens the listener.
    ///
    /// # Errors
    ///
    /// The address is in use, or the process is out of file descriptors.
    pub fn new(
        poller: Poller<TrafficThreadMessage>,
        parts: TrafficParts,
    ) -> Result<Self, DaemonError> {
        let registry = poller.registry().map_err(DaemonError::starting("the traffic thread"))?;
        let address = parts.callers_address;
        let open = || {
            let mut listener = listen(address)?;
            registry.register(&mut listener, CALLERS, Interest::READABLE)?;
            Ok(listener)
        };
        let listener =
            open().map_err(|error| DaemonError::Listen { purpose: "callers", address, error })?;
        Ok(Self {
            poller,
            registry,
            machine: Traffic::new(parts.config.clone()),
            listener: Some(listener),
            callers: Callers::new(),
            backends: Backends::new(),
            scratch: Scratch::new(),
            parts,
            log: DecisionLog::default(),
            queued_reports: VecDeque::new(),
            close_listener_us: None,
            retry_us: None,
            pending_reads: Vec::new(),
        })
    }

    /// Runs the event loop until the process ends.
    pub fn run(mut self) {
        let mut ready = Vec::new();
        loop {
            let deadline_us = self.next_deadline_us();
            self.poller.wait(self.parts.clock, deadline_us, &mut ready);
            ready.extend(self.pending_reads.drain(..).map(Ready::from));
            self.handle_messages();
            for ready in &ready {
                self.handle_socket(*ready);
            }
            self.accept_if_due();
            self.tick();
        }
    }

    fn next_deadline_us(&self) -> Option<u64> {
        if !self.pending_reads.is_empty() {
            return Some(0);
        }
        let machine_us = self.machine.next_deadline_us();
        [machine_us, self.retry_us, self.close_listener_us].into_iter().flatten().min()
    }

    fn handle_messages(&mut self) {
        while let Some(message) = self.poller.try_recv() {
            let event = match message {
                TrafficThreadMessage::View(view) => Event::View(view),
                TrafficThreadMessage::Call(call) => Event::InstanceCall(call),
                TrafficThreadMessage::ProbePrimary { replica_set } => {
                    Event::ProbePrimary { replica_set }
                }
                TrafficThreadMessage::PrimaryPosition { replica_set, term, at_us, position } => {
                    Event::PrimaryPosition { replica_set, term, at_us, position }
                }
                TrafficThreadMessage::Stop { close_idle_us, abort_us } => {
                    self.close_listener_us = Some(close_idle_us);
                    Event::Stop { close_idle_us, abort_us }
                }
            };
            self.machine.push(event);
        }
    }

    fn handle_socket(&mut self, ready: Ready) {
        let token = ready.token;
        self.scratch.read_until_would_block = ready.read_until_would_block;
        let has_pending_reads = match SocketTable::of(token) {
            Some(SocketTable::Callers) => {
                self.callers.advance(token.into(), &mut self.scratch, &mut self.machine)
            }
            Some(SocketTable::Backends) => {
                self.backends.advance(token.into(), &mut self.scratch, &mut self.machine)
            }
            _ if token == CALLERS => {
                self.accept();
                false
            }
            _ => false,
        };
        if has_pending_reads {
            self.pending_reads.push(token);
        }
    }

    fn accept(&mut self) {
        let Some(listener) = &self.listener else { return };
        let mut accepted = Vec::new();
        if accept_all(listener, |tcp| accepted.push(tcp)) {
            self.retry_us = Some(self.parts.clock.now_us() + ACCEPT_RETRY_US);
        }
        for tcp in accepted {
            self.callers.add(tcp, &self.registry, &mut self.machine);
        }
    }

    fn accept_if_due(&mut self) {
        let now_us = self.parts.clock.now_us();
        if self.retry_us.is_some_and(|retry_us| retry_us <= now_us) {
            self.retry_us = None;
            self.accept();
        }
        if self.close_listener_us.is_some_and(|close_us| close_us <= now_us) {
            self.close_listener_us = None;
            // Closing the listener would reset the connections in its backlog, so they are accepted
            // first.
            self.accept();
            self.listener = None;
        }
    }

    /// Ticks the state machine until its actions cause no more events.
    fn tick(&mut self) {
        let mut actions = Vec::new();
        loop {
            let now_us = self.parts.clock.now_us();
            self.machine.tick(now_us);
            self.machine.take_actions(&mut actions);
            if actions.is_empty() {
                break;
            }
            for action in actions.drain(..) {
                self.perform(action);
            }
            self.backends.flush(&mut self.machine);
            self.callers.flush(&mut self.machine);
        }
        self.publish_results();
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Accept { session } => self.callers.accept(session),
            Action::Refuse { session, code, retry_after_ms } => {
                self.callers.refuse(session, code, retry_after_ms);
            }
            Action::Reply { session, reply } => self.callers.reply(session, &reply),
            Action::CloseSession { session } => self.callers.close(session),
            Action::Connect { connection, address } => {
                self.backends.connect(connection, address, &self.registry, &mut self.machine);
            }
            Action::Send { connection, command } => self.backends.send(connection, &command),
            Action::CloseConnection { connection } => self.backends.close(connection),
        }
    }

    /// Passes decisions to the log, metric events to the metrics and reports to the control thread.
    fn publish_results(&mut self) {
        let now_us = self.parts.clock.now_us();
        let mut decisions: Vec<Decision> = Vec::new();
        self.machine.take_decisions(&mut decisions);
        for decision in &decisions {
            self.log.write(decision, now_us);
        }
        let mut metric_events: Vec<MetricEvent> = Vec::new();
        self.machine.take_metric_events(&mut metric_events);
        for event in &metric_events {
            self.parts.metrics.record(event);
        }
        self.parts
            .metrics
            .sessions
            .set(i64::try_from(self.machine.session_count()).unwrap_or(i64::MAX));
        self.parts
            .metrics
            .waiting
            .set(i64::try_from(self.machine.queued_requests()).unwrap_or(i64::MAX));
        let mut reports = Vec::new();
        self.machine.take_reports(&mut reports);
        self.queued_reports.extend(reports);
        while let Some(report) = self.queued_reports.pop_front() {
            if let Err(ControlThreadMessage::Report(report)) =
                self.parts.control.try_send(ControlThreadMessage::Report(report))
            {
                self.queued_reports.push_front(report);
                self.retry_us = Some(now_us + MAILBOX_RETRY_US);
                break;
            }
        }
    }
}
