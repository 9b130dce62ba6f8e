//! Blocking HTTP calls.

use std::io::ErrorKind;
use std::time::{Duration, Instant};

use ureq::http::{Method, Request, Response};
use ureq::{Agent, Body, Error, Timeout};

use super::answer::Answer;
use crate::StoreError;

/// Greatest size of an answer: a value of a megabyte in base64, with its envelope.
const MAX_ANSWER_BYTES: u64 = 2 << 20;

/// Greatest size of an answer's text in an error.
const MAX_MESSAGE_CHARS: usize = 200;

/// Blocking HTTP client of one service. It keeps connections open and never repeats a call.
#[derive(Clone, Debug)]
pub(super) struct Client {
    agent: Agent,
    url: String,
}

impl Client {
    /// Creates a client of the service at `http://IP:PORT`. Nothing is connected yet.
    pub(super) fn new(url: &str) -> Self {
        // Settings of the environment must not send the calls through an HTTP proxy.
        let config = Agent::config_builder()
            .proxy(None)
            .max_redirects(0)
            .http_status_as_error(false)
            .user_agent("flamingorock")
            .build();
        Self { agent: config.new_agent(), url: url.trim_end_matches('/').to_owned() }
    }

    /// Address of the service.
    pub(super) fn url(&self) -> &str {
        &self.url
    }

    /// Makes one call. Answers other than 200 and 404 are errors.
    pub(super) fn call(
        &self,
        method: Method,
        path: &str,
        body: &[u8],
        deadline: Instant,
    ) -> Result<Answer, StoreError> {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining < Duration::from_millis(1) {
            return Err(StoreError::DeadlinePassed { url: self.url.clone() });
        }
        // The limit on connecting lies below the limit on the whole call, so that the error tells a
        // connection that was never made from an answer that did not come.
        let request = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.url))
            .body(body)
            .map_err(|error| self.no_answer(&error.to_string()))?;
        let request = self
            .agent
            .configure_request(request)
            .timeout_global(Some(remaining))
            .timeout_connect(Some(remaining / 2))
            .build();
        let response = self.agent.run(request).map_err(|error| self.call_error(error))?;
        self.read_answer(response)
    }

    /// An answer that is missing or makes no sense.
    pub(super) fn no_answer(&self, reason: &str) -> StoreError {
        StoreError::NoResponse { url: self.url.clone(), reason: reason.to_owned() }
    }

    fn read_answer(&self, mut response: Response<Body>) -> Result<Answer, StoreError> {
        let status = response.status().as_u16();
        let header = response.headers().get("X-Consul-Index");
        let consul_index = header.and_then(|value| value.to_str().ok()?.parse().ok()).unwrap_or(0);
        let body = response.body_mut().with_config().limit(MAX_ANSWER_BYTES).read_to_vec();
        match status {
            200 | 404 => {
                let body = body.map_err(|error| self.no_answer(&error.to_string()))?;
                Ok(Answer { status, consul_index, body })
            }
            300..500 => Err(StoreError::Refused {
                url: self.url.clone(),
                status,
                message: message(&body.unwrap_or_default()),
            }),
            // The service may have passed a write on before it failed.
            _ => {
                let message = message(&body.unwrap_or_default());
                Err(self.no_answer(&format!("status {status}: {message}")))
            }
        }
    }

    fn call_error(&self, error: Error) -> StoreError {
        let connected = match &error {
            // The other kinds of error can also occur on an established connection.
            Error::Io(error) => {
                !matches!(error.kind(), ErrorKind::ConnectionRefused | ErrorKind::AddrNotAvailable)
            }
            Error::Timeout(timeout) => *timeout != Timeout::Connect,
            Error::HostNotFound | Error::BadUri(_) => false,
            _ => true,
        };
        let reason = error.to_string();
        if connected {
            StoreError::NoResponse { url: self.url.clone(), reason }
        } else {
            StoreError::Unreachable { url: self.url.clone(), reason }
        }
    }
}

/// Start of an answer's text.
fn message(body: &[u8]) -> String {
    String::from_utf8_lossy(body).trim().chars().take(MAX_MESSAGE_CHARS).collect()
}
