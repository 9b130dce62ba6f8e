//! Event loop of the control thread.

use std::collections::VecDeque;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

use bytes::Bytes;
use flamingorock_jardinet::{
    HostSettings, READY_PATH, decode_promotion_response, decode_store_response,
    encode_promotion_request, encode_store_request,
};
use flamingorock_pool::Permit;
use flamingorock_pool::control::{
    Action, Control, ControlConfig, Event, PeerMessage, StateChange, StoreCall, StoreResponse,
};
use mio::net::{TcpListener, UdpSocket};
use mio::{Interest, Registry, Token};

use super::call_context::CallContext;
use super::http_client::{CompletedCall, HttpClient};
use super::http_server::{HttpServer, Request, Response};
use super::metrics::PooledMetrics;
use super::signals::SignalPipe;
use super::thread_messages::{ControlThreadMessage, TrafficThreadMessage};
use crate::clock::Clock;
use crate::error::DaemonError;
use crate::mailbox::MailboxSender;
use crate::net::{SocketTable, bind_udp, listen};
use crate::poller::{Poller, Ready};

const STOP: Token = Token(1);
const RELOAD: Token = Token(2);
const PEERS: Token = Token(3);
const READY: Token = Token(4);
const METRICS: Token = Token(5);

/// Size of the receive buffer, at least that of the largest UDP datagram.
const DATAGRAM_BUFFER_BYTES: usize = 64 * 1024;
/// Delay before messages are sent again to a traffic thread whose mailbox was full.
const MAILBOX_RETRY_US: u64 = 2_000;
const METRICS_PATH: &str = "/metrics";

/// Settings and shared state that the control thread is created with.
pub struct ControlParts {
    pub settings: HostSettings,
    pub settings_path: PathBuf,
    /// Port for metrics on the host's address; without one, no metrics are served.
    pub metrics_port: Option<u16>,
    /// Unix time of the start in microseconds, which distinguishes it from earlier starts of the
    /// host.
    pub incarnation: u64,
    /// Extended by this thread and checked by the traffic thread.
    pub permit: Permit,
    pub clock: Clock,
    pub metrics: PooledMetrics,
    pub traffic: MailboxSender<TrafficThreadMessage>,
}

/// The control thread: its state machine and its sockets.
pub struct ControlThread {
    poller: Poller<ControlThreadMessage>,
    registry: Registry,
    machine: Control,
    calls: HttpClient<CallContext>,
    server: HttpServer,
    peer_socket: UdpSocket,
    /// Receive buffer of `peer_socket`.
    datagram: Vec<u8>,
    readiness_listener: TcpListener,
    metrics_listener: Option<TcpListener>,
    stop: SignalPipe,
    reload: SignalPipe,
    parts: ControlParts,
    is_ready: bool,
    should_exit: bool,
    /// Messages queued because the traffic thread's mailbox was full.
    outgoing: VecDeque<TrafficThreadMessage>,
}

impl ControlThread {
    /// Opens the sockets and installs the signal handlers.
    ///
    /// # Errors
    ///
    /// An address is in use, or a socket or a signal handler cannot be created.
    pub fn new(
        poller: Poller<ControlThreadMessage>,
        parts: ControlParts,
    ) -> Result<Self, DaemonError> {
        let starting = DaemonError::starting("the control thread");
        let registry = poller.registry().map_err(starting)?;
        let settings = &parts.settings;
        let config = ControlConfig {
            name: settings.name.clone(),
            incarnation: parts.incarnation,
            peer_address: settings.peer_address,
            permit: parts.permit.clone(),
            grace_us: settings.grace_us,
        };
        let readiness_listener =
            open_listener(&registry, settings.ready_address, "readiness probes", READY)?;
        let metrics_listener = match parts.metrics_port {
            Some(port) => {
                let address = SocketAddr::new(host_ip(settings), port);
                Some(open_listener(&registry, address, "metrics", METRICS)?)
            }
            None => None,
        };
        let address = settings.peer_address;
        let listening = |error| DaemonError::Listen { purpose: "proxies", address, error };
        let mut peer_socket = bind_udp(address).map_err(listening)?;
        registry.register(&mut peer_socket, PEERS, Interest::READABLE).map_err(listening)?;
        let signal = DaemonError::starting("signal handling");
        let (mut stop, mut reload) =
            (|| Ok((SignalPipe::for_stop()?, SignalPipe::for_reload()?)))().map_err(signal)?;
        for (pipe, token) in [(&mut stop, STOP), (&mut reload, RELOAD)] {
            registry
                .register(pipe.receiver_mut(), token, Interest::READABLE)
                .map_err(DaemonError::starting("signal handling"))?;
        }
        let machine = Control::new(config, parts.clock.now_us());
        Ok(Self {
            poller,
            registry,
            machine,
            calls: HttpClient::new(),
            server: HttpServer::new(),
            peer_socket,
            datagram: vec![0; DATAGRAM_BUFFER_BYTES],
            readiness_listener,
            metrics_listener,
            stop,
            reload,
            parts,
            is_ready: false,
            should_exit: false,
            outgoing: VecDeque::new(),
        })
    }

    /// Runs the event loop until the state machine ends the process.
    ///
    /// # Errors
    ///
    /// The traffic thread has ended unexpectedly.
    pub fn run(mut self) -> Result<(), DaemonError> {
        let mut ready = Vec::new();
        self.tick();
        while !self.should_exit {
            let deadline_us = self.next_deadline_us();
            self.poller.wait(self.parts.clock, Some(deadline_us), &mut ready);
            while let Some(message) = self.poller.try_recv() {
                match message {
                    ControlThreadMessage::Report(report) => {
                        self.machine.push(Event::Report(report))
                    }
                    ControlThreadMessage::TrafficEnded => {
                        return Err(DaemonError::ThreadEnded { thread: "the traffic thread" });
                    }
                }
            }
            let now_us = self.parts.clock.now_us();
            for ready in &ready {
                self.handle_socket(*ready, now_us);
            }
            for completed in self.calls.expire(now_us) {
                self.complete_call(completed);
            }
            self.server.expire(now_us);
            self.tick();
        }
        Ok(())
    }

    fn next_deadline_us(&self) -> u64 {
        let now_us = self.parts.clock.now_us();
        let machine_us = self.machine.next_deadline_us(now_us);
        let outgoing_us =
            if self.outgoing.is_empty() { u64::MAX } else { now_us + MAILBOX_RETRY_US };
        machine_us.min(outgoing_us).min(self.calls.next_deadline_us().unwrap_or(u64::MAX))
    }

    fn handle_socket(&mut self, ready: Ready, now_us: u64) {
        let token = ready.token;
        match SocketTable::of(token) {
            Some(SocketTable::OutgoingHttp) => {
                if let Some(completed) = self.calls.advance(token.into(), now_us) {
                    self.complete_call(completed);
                }
            }
            Some(SocketTable::IncomingHttp) => {
                let handler = http_handler(self.is_ready, &self.parts.metrics);
                self.server.advance(token.into(), &handler);
            }
            _ => self.handle_fixed_token(token),
        }
    }

    fn handle_fixed_token(&mut self, token: Token) {
        match token {
            STOP if self.stop.take() => {
                tracing::info!(event = "signal", detail = "received a signal to stop");
                self.machine.push(Event::Stop);
            }
            RELOAD if self.reload.take() => self.reload_settings(),
            PEERS => self.receive_datagrams(),
            READY => self.accept(true),
            METRICS => self.accept(false),
            _ => {}
        }
    }

    fn accept(&mut self, is_readiness: bool) {
        let now_us = self.parts.clock.now_us();
        let listener = if is_readiness {
            Some(&self.readiness_listener)
        } else {
            self.metrics_listener.as_ref()
        };
        let Some(listener) = listener else { return };
        let handler = http_handler(self.is_ready, &self.parts.metrics);
        self.server.accept(listener, &self.registry, now_us, &handler);
    }

    /// Reloads the addresses of the platform's services. All other settings are kept until a
    /// restart.
    fn reload_settings(&mut self) {
        match HostSettings::load(&self.parts.settings_path) {
            Ok(settings) => {
                self.parts.settings.store_address = settings.store_address;
                self.parts.settings.promotion_address = settings.promotion_address;
                tracing::info!(event = "reload", detail = "reloaded the settings");
            }
            Err(error) => {
                tracing::warn!(
                    event = "reload",
                    %error,
                    "cannot reload the settings; the previous ones remain in force"
                );
            }
        }
    }

    fn receive_datagrams(&mut self) {
        while let Ok((length, from)) = self.peer_socket.recv_from(&mut self.datagram) {
            match postcard::from_bytes::<PeerMessage>(&self.datagram[..length]) {
                Ok(message) => self.machine.push(Event::Peer(message)),
                Err(error) => {
                    tracing::warn!(event = "datagram_unreadable", %from, %error);
                }
            }
        }
    }

    /// Passes the outcome of a call to the state machine.
    fn complete_call(&mut self, (context, response): CompletedCall<CallContext>) {
        let event = match context {
            CallContext::Store { call, sent_us } => {
                let outcome = decode_store_response(&call, response.as_ref());
                Event::Store(Box::new(StoreResponse { call, sent_us, outcome }))
            }
            CallContext::Promotion { replica_set, fencing_token } => {
                let outcome = decode_promotion_response(response.as_ref());
                Event::Promotion { replica_set, fencing_token, outcome }
            }
        };
        self.machine.push(event);
    }

    /// Runs the state machine once, performs its actions and sends queued messages to the traffic
    /// thread.
    fn tick(&mut self) {
        let now_us = self.parts.clock.now_us();
        self.machine.tick(now_us);
        let mut changes: Vec<StateChange> = Vec::new();
        self.machine.take_changes(&mut changes);
        for change in &changes {
            tracing::info!(event = change.name(), detail = %change);
        }
        let mut actions = Vec::new();
        self.machine.take_actions(&mut actions);
        for action in actions {
            self.perform(action, now_us);
        }
        while let Some(message) = self.outgoing.pop_front() {
            if let Err(message) = self.parts.traffic.try_send(message) {
                self.outgoing.push_front(message);
                break;
            }
        }
        self.set_gauges(now_us);
    }

    fn set_gauges(&self, now_us: u64) {
        let metrics = &self.parts.metrics;
        let version = self.machine.configuration_version();
        metrics.configuration_version.set(i64::try_from(version).unwrap_or(i64::MAX));
        let proxies = self.machine.fleet_size(now_us);
        metrics.proxies.set(i64::try_from(proxies).unwrap_or(i64::MAX));
        let (epoch, members) = self.machine.membership();
        metrics.membership_epoch.set(i64::try_from(epoch).unwrap_or(i64::MAX));
        metrics.members.set(i64::try_from(members).unwrap_or(i64::MAX));
        let left_ms = self.parts.permit.expires_us().saturating_sub(now_us) / 1000;
        metrics.permit_left_ms.set(i64::try_from(left_ms).unwrap_or(i64::MAX));
    }

    fn perform(&mut self, action: Action, now_us: u64) {
        match action {
            Action::Store { call, deadline_us } => self.call_store(call, deadline_us, now_us),
            Action::Promote { replica_set, instance, fencing_token, deadline_us } => {
                self.promote(replica_set, &instance, fencing_token, deadline_us);
            }
            Action::AbandonWatch => self.calls.abandon(CallContext::is_watch),
            Action::AbandonPromotion { replica_set, fencing_token } => {
                self.calls.abandon(|context| context.is_promotion(&replica_set, fencing_token));
            }
            Action::Send { address, message } => self.send_datagram(address, &message),
            Action::Call(call) => self.outgoing.push_back(TrafficThreadMessage::Call(call)),
            Action::Publish(view) => self.outgoing.push_back(TrafficThreadMessage::View(view)),
            Action::ProbePrimary { replica_set } => {
                self.outgoing.push_back(TrafficThreadMessage::ProbePrimary { replica_set });
            }
            Action::PassPosition { replica_set, term, at_us, position } => {
                let message =
                    TrafficThreadMessage::PrimaryPosition { replica_set, term, at_us, position };
                self.outgoing.push_back(message);
            }
            Action::SetReady(is_ready) => self.is_ready = is_ready,
            Action::StopTraffic { close_idle_us, abort_us } => {
                self.outgoing.push_back(TrafficThreadMessage::Stop { close_idle_us, abort_us });
            }
            Action::Exit => {
                tracing::info!(event = "stop", detail = "the process exits");
                self.should_exit = true;
            }
        }
    }

    fn call_store(&mut self, call: StoreCall, deadline_us: u64, now_us: u64) {
        let address = self.parts.settings.store_address;
        let request = encode_store_request(&address.to_string(), &call);
        self.parts.metrics.store_calls.inc();
        let context = CallContext::Store { call, sent_us: now_us };
        let started =
            self.calls.start(&self.registry, address, request, deadline_us, false, context);
        if let Err(context) = started {
            self.complete_call((context, None));
        }
    }

    fn promote(
        &mut self,
        replica_set: Bytes,
        instance: &Bytes,
        fencing_token: u64,
        deadline_us: u64,
    ) {
        let settings = &self.parts.settings;
        let address = settings.promotion_address;
        let holder = String::from_utf8_lossy(&settings.name);
        let request = encode_promotion_request(
            &address.to_string(),
            &holder,
            fencing_token,
            &replica_set,
            instance,
        );
        let context = CallContext::Promotion { replica_set, fencing_token };
        let started =
            self.calls.start(&self.registry, address, request, deadline_us, true, context);
        if let Err(context) = started {
            self.complete_call((context, None));
        }
    }

    /// Sends a datagram to another proxy. Failures are only logged, because the state machine
    /// repeats its messages.
    fn send_datagram(&self, address: SocketAddr, message: &PeerMessage) {
        match postcard::to_stdvec(message) {
            Ok(bytes) => {
                if let Err(error) = self.peer_socket.send_to(&bytes, address) {
                    tracing::debug!(event = "datagram_not_sent", %address, %error);
                }
            }
            Err(error) => tracing::warn!(event = "datagram_not_encoded", %error),
        }
    }
}

fn host_ip(settings: &HostSettings) -> IpAddr {
    settings.peer_address.ip()
}

fn open_listener(
    registry: &Registry,
    address: SocketAddr,
    purpose: &'static str,
    token: Token,
) -> Result<TcpListener, DaemonError> {
    let open = || {
        let mut listener = listen(address)?;
        registry.register(&mut listener, token, Interest::READABLE)?;
        Ok(listener)
    };
    open().map_err(|error| DaemonError::Listen { purpose, address, error })
}

/// Returns the handler of the HTTP server, which serves the readiness probe and the metrics.
fn http_handler(is_ready: bool, metrics: &PooledMetrics) -> impl Fn(&Request) -> Response {
    move |request| match request.path.as_str() {
        READY_PATH if is_ready => Response { status: "200 OK", body: String::new() },
        READY_PATH => Response { status: "503 Service Unavailable", body: String::new() },
        METRICS_PATH => Response { status: "200 OK", body: metrics.encode() },
        _ => Response { status: "404 Not Found", body: String::new() },
    }
}
