//! Server of the metrics and admin port.

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
use super::reply::Reply;
use crate::error::DaemonError;
use crate::mailbox::MailboxSender;
use crate::metrics::Metrics;
use crate::thread_messages::{ControlThreadMessage, TrafficThreadMessage};
use crate::traffic::Statistics;

/// Time that another thread gets to answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(2);

/// Greatest size of a request body.
const BODY_LIMIT_BYTES: u64 = 64 * 1024;

/// What the admin server is made of.
pub struct AdminParts {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Key of the operators.
    pub key: AdminKey,
    /// This host.
    pub host: HostId,
    /// Start of the process that the reports are of.
    pub incarnation: u64,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// Mailbox of the control thread.
    pub control: MailboxSender<ControlThreadMessage>,
    /// Mailboxes of the traffic threads.
    pub traffic: Vec<MailboxSender<TrafficThreadMessage>>,
}

/// Ends an [`AdminServer`] that runs on another thread.
pub struct AdminStopHandle {
    server: Arc<Server>,
    stopping: Arc<AtomicBool>,
}

impl AdminStopHandle {
    /// Lets the server finish the answer that it is writing and end.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
        self.server.unblock();
    }
}

/// Server of the metrics and admin port. It runs on a thread of its own and reaches the others only
/// over their mailboxes.
pub struct AdminServer {
    server: Arc<Server>,
    stopping: Arc<AtomicBool>,
    parts: AdminParts,
    history: BurnHistory,
    started: Instant,
}

impl AdminServer {
    /// Starts to listen.
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

    /// Handle that ends the server from another thread.
    #[must_use]
    pub fn stop_handle(&self) -> AdminStopHandle {
        AdminStopHandle { server: Arc::clone(&self.server), stopping: Arc::clone(&self.stopping) }
    }

    /// Answers requests, and samples the counters for the burn report, until it is stopped.
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
        let reply = self.answer(&mut request);
        let header = Header::from_bytes("Content-Type", reply.content_type)
            .expect("the content types are valid header values");
        let response =
            Response::from_string(reply.body).with_status_code(reply.status).with_header(header);
        // The operator's connection may have gone; there is nobody to tell.
        let _ = request.respond(response);
    }

    fn answer(&self, request: &mut Request) -> Reply {
        let path = request.url().split('?').next().unwrap_or_default().to_owned();
        let method = request.method().clone();
        if path.starts_with("/admin/") && !is_authorized(request, &self.parts.key) {
            return Reply::text(
                401,
                "the header \"Authorization: Bearer KEY\" is missing or wrong",
            );
        }
        match (method, path.as_str()) {
            (Method::Get, "/metrics") => self.metrics(),
            (Method::Get, "/health") => Reply::text(200, "alive"),
            (Method::Get, "/ready") => self.ready(),
            (Method::Get, "/admin/status") => self.status(),
            (Method::Get, "/admin/burn") => self.burn(),
            (Method::Post, "/admin/drain") => self.drain(),
            (Method::Post, "/admin/promote") => self.promote(request),
            (_, "/metrics" | "/health" | "/ready" | "/admin/status" | "/admin/burn") => {
                Reply::text(405, "use GET")
            }
            (_, "/admin/drain" | "/admin/promote") => Reply::text(405, "use POST"),
            _ => Reply::text(404, "no such page"),
        }
    }

    fn metrics(&self) -> Reply {
        Statistics::publish(&self.statistics(), &self.parts.metrics);
        if let Some(counters) = self.ask(AdminRequest::Counters) {
            self.parts.metrics.update_control_counters(&counters);
        }
        Reply::metrics(self.parts.metrics.render())
    }

    fn ready(&self) -> Reply {
        match self.ask(AdminRequest::Ready) {
            Some(true) => Reply::text(200, "ready"),
            Some(false) => Reply::text(503, "no configuration is in force, or shutting down"),
            None => no_answer(),
        }
    }

    fn status(&self) -> Reply {
        self.ask(AdminRequest::Status).map_or_else(no_answer, Reply::json)
    }

    fn burn(&self) -> Reply {
        Reply::json(self.history.report(self.uptime_s(), &self.statistics()))
    }

    fn drain(&self) -> Reply {
        match self.parts.control.try_send(ControlThreadMessage::Admin(AdminRequest::Drain)) {
            Ok(()) => Reply::text(202, "shutting down"),
            Err(_) => no_answer(),
        }
    }

    fn promote(&self, request: &mut Request) -> Reply {
        let (database, instance) = match read_promotion(request) {
            Ok(names) => names,
            Err(message) => return Reply::text(400, &message),
        };
        let result = self.ask(|answer| AdminRequest::Promote { database, instance, answer });
        match result {
            Some(Ok(())) => Reply::text(202, "promotion requested"),
            Some(Err(refusal)) => Reply::text(refusal.status(), &refusal.to_string()),
            None => no_answer(),
        }
    }

    /// Asks the control thread; `None` if it does not answer in time.
    fn ask<T>(&self, build: impl FnOnce(Sender<T>) -> AdminRequest) -> Option<T> {
        let (answer, receiver) = bounded(1);
        self.parts.control.try_send(ControlThreadMessage::Admin(build(answer))).ok()?;
        receiver.recv_timeout(ANSWER_LIMIT).ok()
    }

    /// Counters and sizes of the traffic threads that answer in time.
    fn statistics(&self) -> Vec<Statistics> {
        let (answer, receiver): (Sender<Statistics>, Receiver<Statistics>) =
            bounded(self.parts.traffic.len());
        for sender in &self.parts.traffic {
            // A thread whose mailbox is full is left out this time.
            let _ = sender.try_send(TrafficThreadMessage::Statistics(answer.clone()));
        }
        drop(answer);
        std::iter::from_fn(|| receiver.recv_timeout(ANSWER_LIMIT).ok()).collect()
    }
}

fn no_answer() -> Reply {
    Reply::text(503, "the process is too busy to answer; ask again")
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
