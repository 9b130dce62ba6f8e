//! Blocking HTTP client.

use std::io::ErrorKind;
use std::time::{Duration, Instant};

use ureq::http::{Method, Request, Response};
use ureq::{Agent, Body, Error, Timeout};

use super::response::ConsulResponse;
use crate::StoreError;

/// Maximum size of a response body: fits a value of 1 MiB in base64 with the surrounding JSON.
const MAX_RESPONSE_BYTES: u64 = 2 << 20;

/// Maximum number of characters of a response body that an error message quotes.
const MAX_MESSAGE_CHARS: usize = 200;

/// Blocking HTTP client for one Consul address. It reuses connections and never retries a call.
#[derive(Clone, Debug)]
pub(super) struct Client {
    agent: Agent,
    url: String,
}

impl Client {
    /// Creates a client for the service at `http://IP:PORT`. It connects on the first call.
    pub(super) fn new(url: &str) -> Self {
        // Ignores `HTTP_PROXY` and the like: the calls must not go through an HTTP proxy.
        let config = Agent::config_builder()
            .proxy(None)
            .max_redirects(0)
            .http_status_as_error(false)
            .user_agent("flamingorock")
            .build();
        Self { agent: config.new_agent(), url: url.trim_end_matches('/').to_owned() }
    }

    /// URL of the service, without a trailing slash.
    pub(super) fn url(&self) -> &str {
        &self.url
    }

    /// Makes one call. A status other than 200 and 404 is an error.
    pub(super) fn call(
        &self,
        method: Method,
        path: &str,
        body: &[u8],
        deadline: Instant,
    ) -> Result<ConsulResponse, StoreError> {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining < Duration::from_millis(1) {
            return Err(StoreError::DeadlinePassed { url: self.url.clone() });
        }
        // The connect timeout is shorter than the timeout of the whole call, so that the error
        // distinguishes a connection that was never established from a missing response.
        let request = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.url))
            .body(body)
            .map_err(|error| self.no_response(&error.to_string()))?;
        let request = self
            .agent
            .configure_request(request)
            .timeout_global(Some(remaining))
            .timeout_connect(Some(remaining / 2))
            .build();
        let response = self.agent.run(request).map_err(|error| self.call_error(error))?;
        self.read_response(response)
    }

    /// Error for a response that is missing or cannot be decoded.
    pub(super) fn no_response(&self, reason: &str) -> StoreError {
        StoreError::NoResponse { url: self.url.clone(), reason: reason.to_owned() }
    }

    fn read_response(&self, mut response: Response<Body>) -> Result<ConsulResponse, StoreError> {
        let status = response.status().as_u16();
        let header = response.headers().get("X-Consul-Index");
        let consul_index = header.and_then(|value| value.to_str().ok()?.parse().ok()).unwrap_or(0);
        let body = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES).read_to_vec();
        match status {
            200 | 404 => {
                let body = body.map_err(|error| self.no_response(&error.to_string()))?;
                Ok(ConsulResponse { status, consul_index, body })
            }
            300..500 => Err(StoreError::Refused {
                url: self.url.clone(),
                status,
                message: body_excerpt(&body.unwrap_or_default()),
            }),
            // The server may have forwarded a write before it failed.
            _ => {
                let message = body_excerpt(&body.unwrap_or_default());
                Err(self.no_response(&format!("status {status}: {message}")))
            }
        }
    }

    fn call_error(&self, error: Error) -> StoreError {
        let connected = match &error {
            // I/O errors of other kinds can also occur on an established connection.
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

/// Beginning of a response body, for an error message.
fn body_excerpt(body: &[u8]) -> String {
    String::from_utf8_lossy(body).trim().chars().take(MAX_MESSAGE_CHARS).collect()
}
