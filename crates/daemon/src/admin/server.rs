//! HTTP server of the metrics and admin port.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, bounded};
use flamingorock_config::AdminKey;
use flamingorock_core::HostId;
use tiny_http::{Header, Method, Request, Response, Server};

use super::AdminRequest;
use super::authorization::is_authorized;
use super::burn::{BurnHistory, SAMPLE_INTERVAL_S};
use super::response::AdminResponse;
use crate::error::DaemonError;
use crate::mailbox::MailboxSender;
use crate::metrics::Metrics;
use crate::thread_messages::{ControlThreadMessage, TrafficThreadMessage};
use crate::traffic::Statistics;

/// Time that other threads have to respond.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of bytes of a request body that are read at most.
const BODY_LIMIT_BYTES: u64 = 64 * 1024;

/// Parameters of the admin server.
pub struct AdminParts {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Key that requests to paths under `/admin/` must carry.
    pub key: AdminKey,
    /// This host, named in the burn report.
    pub host: HostId,
    /// Incarnation of the process, which tells burn reports of different process starts apart.
    pub incarnation: u64,
    /// Metrics of the process.
    pub metrics: Arc<Metrics>,
    /// Mailbox of the control thread.
    pub control: MailboxSender<ControlThreadMessage>,
    /// Mailboxes of the traffic threads.
    pub traffic: Vec<MailboxSender<TrafficThreadMessage>>,
}

/// Handle that stops an [`AdminServer`] that runs on another thread.
pub struct AdminStopHandle {
    server: Arc<Server>,
    stopping: Arc<AtomicBool>,
}

impl AdminStopHandle {
    /// Stops the server after the response that it may be writing.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
        self.server.unblock();
    }
}

/// HTTP server of the metrics and admin port. It runs on a thread of its own and communicates with
/// the other threads only through their mailboxes.
pub struct AdminServer {
    server: Arc<Server>,
    stopping: Arc<AtomicBool>,
    parts: AdminParts,
    history: BurnHistory,
    started: Instant,
}

impl AdminServer {
    /// Binds the address and starts to listen.
    ///
    /// # Errors
    ///
    /// The address cannot be used.
    pub fn bind(parts: AdminParts) -> Result<Self, DaemonError> {
        let address = parts.address;
        let server = Server::http(address).map_err(|error| DaemonError::Listen {
            purpose: "metrics and admin",
            address,
            error: std::io::Error::other(error),
        })?;
        let history = BurnHistory::new(parts.host, parts.incarnation);
        let stopping = Arc::new(AtomicBool::new(false));
        Ok(Self { server: Arc::new(server), stopping, parts, history, started: Instant::now() })
    }

    /// Returns a handle that stops the server from another thread.
    #[must_use]
    pub fn stop_handle(&self) -> AdminStopHandle {
        AdminStopHandle { server: Arc::clone(&self.server), stopping: Arc::clone(&self.stopping) }
    }

    /// Serves requests one by one, and samples the counters for the burn report, until it is
    /// stopped.
    pub fn run(mut self) {
        let interval = Duration::from_secs(SAMPLE_INTERVAL_S);
        let mut next_sample = self.started;
        while !self.stopping.load(Ordering::Acquire) {
            let wait = next_sample.saturating_duration_since(Instant::now());
            if wait.is_zero() {
                self.history.sample(self.uptime_s(), &self.statistics());
                next_sample += interval;
                continue;
            }
            match self.server.recv_timeout(wait) {
                Ok(Some(request)) => self.respond(request),
                Ok(None) => {}
                Err(error) => {
                    tracing::error!(%error, "the admin port has stopped");
                    return;
                }
            }
        }
    }

    fn uptime_s(&self) -> u64 {
        self.started.elapsed().as_secs()
    }

    fn respond(&self, mut request: Request) {
        let admin_response = self.handle(&mut request);
        let header = Header::from_bytes("Content-Type", admin_response.content_type)
            .expect("the content types are valid header values");
        let response = Response::from_string(admin_response.body)
            .with_status_code(admin_response.status)
            .with_header(header);
        // The client may have closed its connection, in which case nobody waits for the response.
        let _ = request.respond(response);
    }

    fn handle(&self, request: &mut Request) -> AdminResponse {
        let path = request.url().split('?').next().unwrap_or_default().to_owned();
        let method = request.method().clone();
        if path.starts_with("/admin/") && !is_authorized(request, &self.parts.key) {
            return AdminResponse::text(
                401,
                "the header \"Authorization: Bearer KEY\" is missing or wrong",
            );
        }
        match (method, path.as_str()) {
            (Method::Get, "/metrics") => self.metrics(),
            (Method::Get, "/health") => AdminResponse::text(200, "alive"),
            (Method::Get, "/ready") => self.ready(),
            (Method::Get, "/admin/status") => self.status(),
            (Method::Get, "/admin/burn") => self.burn(),
            (Method::Post, "/admin/drain") => self.drain(),
            (Method::Post, "/admin/promote") => self.promote(request),
            (_, "/metrics" | "/health" | "/ready" | "/admin/status" | "/admin/burn") => {
                AdminResponse::text(405, "use GET")
            }
            (_, "/admin/drain" | "/admin/promote") => AdminResponse::text(405, "use POST"),
            _ => AdminResponse::text(404, "no such page"),
        }
    }

    fn metrics(&self) -> AdminResponse {
        Statistics::publish(&self.statistics(), &self.parts.metrics);
        if let Some(counters) = self.query_control(AdminRequest::Counters) {
            self.parts.metrics.update_control_counters(&counters);
        }
        AdminResponse::metrics(self.parts.metrics.render())
    }

    fn ready(&self) -> AdminResponse {
        match self.query_control(AdminRequest::Ready) {
            Some(true) => AdminResponse::text(200, "ready"),
            Some(false) => {
                AdminResponse::text(503, "no configuration is in force, or shutting down")
            }
            None => busy_response(),
        }
    }

    fn status(&self) -> AdminResponse {
        self.query_control(AdminRequest::Status).map_or_else(busy_response, AdminResponse::json)
    }

    fn burn(&self) -> AdminResponse {
        AdminResponse::json(self.history.report(self.uptime_s(), &self.statistics()))
    }

    fn drain(&self) -> AdminResponse {
        match self.parts.control.try_send(ControlThreadMessage::Admin(AdminRequest::Drain)) {
            Ok(()) => AdminResponse::text(202, "shutting down"),
            Err(_) => busy_response(),
        }
    }

    fn promote(&self, request: &mut Request) -> AdminResponse {
        let (database, instance) = match read_promotion(request) {
            Ok(names) => names,
            Err(message) => return AdminResponse::text(400, &message),
        };
        let result = self.query_control(|response_sender| AdminRequest::Promote {
            database,
            instance,
            response_sender,
        });
        match result {
            Some(Ok(())) => AdminResponse::text(202, "promotion requested"),
            Some(Err(refusal)) => AdminResponse::text(refusal.status(), &refusal.to_string()),
            None => busy_response(),
        }
    }

    /// Sends a request to the control thread and waits for the response; `None` if it does not
    /// respond in time.
    fn query_control<T>(&self, build: impl FnOnce(Sender<T>) -> AdminRequest) -> Option<T> {
        let (response_sender, receiver) = bounded(1);
        self.parts.control.try_send(ControlThreadMessage::Admin(build(response_sender))).ok()?;
        receiver.recv_timeout(RESPONSE_TIMEOUT).ok()
    }

    /// Statistics of the traffic threads that respond in time.
    fn statistics(&self) -> Vec<Statistics> {
        let (response_sender, receiver): (Sender<Statistics>, Receiver<Statistics>) =
            bounded(self.parts.traffic.len());
        for sender in &self.parts.traffic {
            // The result lacks a thread whose mailbox is full.
            let _ = sender.try_send(TrafficThreadMessage::Statistics(response_sender.clone()));
        }
        drop(response_sender);
        std::iter::from_fn(|| receiver.recv_timeout(RESPONSE_TIMEOUT).ok()).collect()
    }
}

fn busy_response() -> AdminResponse {
    AdminResponse::text(503, "the process is too busy to answer; ask again")
}

fn read_promotion(request: &mut Request) -> Result<(String, String), String> {
    let mut body = String::new();
    let reading = request.as_reader().take(BODY_LIMIT_BYTES).read_to_string(&mut body);
    reading.map_err(|error| format!("the body cannot be read: {error}"))?;
    let value: serde_json::Value =
        serde_json::from_str(&body).map_err(|error| format!("the body is not JSON: {error}"))?;
    let field = |name: &str| {
        let text = value.get(name).and_then(serde_json::Value::as_str);
        text.map(str::to_owned).ok_or_else(|| format!("the body has no text field \"{name}\""))
    };
    Ok((field("database")?, field("instance")?))
}
