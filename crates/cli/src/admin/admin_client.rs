//! Calls to the admin port of a proxy.

use core::net::SocketAddr;
use std::io::ErrorKind;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde_json::Value;
use ureq::http::{Method, Request};
use ureq::{Agent, Error, Timeout};

use super::{AdminError, Answers, MissingProxy};
use crate::Failure;
use crate::arguments::ProxyArguments;

/// Greatest size of an answer; a status of 780 databases is far smaller.
const MAX_ANSWER_BYTES: u64 = 16 << 20;

/// Greatest size of an answer's text in an error.
const MAX_MESSAGE_CHARS: usize = 200;

/// Calls the admin ports of the given proxies.
#[derive(Debug)]
pub(crate) struct AdminClient<'a> {
    agent: Agent,
    limit_ms: u64,
    arguments: &'a ProxyArguments,
}

impl<'a> AdminClient<'a> {
    /// Creates a client; a call takes at most `limit_ms`.
    pub(crate) fn new(arguments: &'a ProxyArguments, limit_ms: u64) -> Self {
        let limit = Duration::from_millis(limit_ms);
        // The key must not travel through an HTTP proxy of the environment or along a redirect.
        let config = Agent::config_builder()
            .proxy(None)
            .max_redirects(0)
            .http_status_as_error(false)
            .timeout_global(Some(limit))
            .timeout_connect(Some(limit / 2))
            .user_agent("flamingoctl")
            .build();
        Self { agent: config.new_agent(), limit_ms, arguments }
    }

    /// Addresses of the proxies.
    pub(crate) fn proxies(&self) -> &'a [SocketAddr] {
        &self.arguments.proxies
    }

    /// Reads a path of every proxy at the same time. A failure if none answers.
    pub(crate) fn get_all<T: DeserializeOwned + Send>(
        &self,
        path: &str,
    ) -> Result<Answers<T>, Failure> {
        let results: Vec<_> = std::thread::scope(|scope| {
            let calls: Vec<_> = self
                .proxies()
                .iter()
                .map(|&proxy| (proxy, scope.spawn(move || self.get(proxy, path))))
                .collect();
            calls
                .into_iter()
                .map(|(proxy, call)| (proxy, call.join().expect("the call does not panic")))
                .collect()
        });
        let (mut answers, mut missing, mut refused) = (Vec::new(), Vec::new(), true);
        for (proxy, result) in results {
            match result {
                Ok(answer) => answers.push((proxy, answer)),
                Err(error) => {
                    refused &= matches!(error, AdminError::Refused { .. });
                    missing.push(MissingProxy { proxy, reason: error.to_string() });
                }
            }
        }
        if answers.is_empty() {
            let lines: Vec<_> = missing.iter().map(ToString::to_string).collect();
            let reason = lines.join("; ");
            return Err(if refused {
                Failure::Refused { reason }
            } else {
                Failure::Unreachable { reason }
            });
        }
        Ok(Answers { answers, missing })
    }

    /// Reads a path of a proxy.
    fn get<T: DeserializeOwned>(&self, proxy: SocketAddr, path: &str) -> Result<T, AdminError> {
        let body = self.call(Method::GET, proxy, path, Vec::new())?;
        serde_json::from_slice(&body)
            .map_err(|error| AdminError::NoAnswer { reason: error.to_string() })
    }

    /// Posts a command to a proxy.
    pub(crate) fn post(
        &self,
        proxy: SocketAddr,
        path: &str,
        body: Option<&Value>,
    ) -> Result<(), AdminError> {
        let body = body.map(ToString::to_string).unwrap_or_default();
        self.call(Method::POST, proxy, path, body.into_bytes()).map(drop)
    }

    fn call(
        &self,
        method: Method,
        proxy: SocketAddr,
        path: &str,
        body: Vec<u8>,
    ) -> Result<Vec<u8>, AdminError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{proxy}{path}"))
            .header("Authorization", format!("Bearer {}", self.arguments.admin_key))
            .header("Content-Type", "application/json")
            .body(body)
            .map_err(|error| AdminError::Unreachable { reason: error.to_string() })?;
        let mut response = self.agent.run(request).map_err(|error| self.call_error(&error))?;
        let status = response.status().as_u16();
        let body = response
            .body_mut()
            .with_config()
            .limit(MAX_ANSWER_BYTES)
            .read_to_vec()
            .map_err(|error| AdminError::NoAnswer { reason: error.to_string() });
        match status {
            200..300 => body,
            300..500 => {
                Err(AdminError::Refused { status, message: message(&body.unwrap_or_default()) })
            }
            _ => {
                let message = message(&body.unwrap_or_default());
                Err(AdminError::NoAnswer { reason: format!("status {status}: {message}") })
            }
        }
    }

    fn call_error(&self, error: &Error) -> AdminError {
        let limit_ms = self.limit_ms;
        match error {
            // The other kinds of error can also occur on an established connection.
            Error::Io(error) if error.kind() == ErrorKind::ConnectionRefused => {
                AdminError::Unreachable { reason: "connection refused".to_owned() }
            }
            Error::Timeout(Timeout::Connect) => {
                AdminError::Unreachable { reason: "no connection in time".to_owned() }
            }
            Error::Timeout(_) => {
                AdminError::NoAnswer { reason: format!("none within {limit_ms} ms") }
            }
            error => AdminError::NoAnswer { reason: error.to_string() },
        }
    }
}

/// Start of an answer's text.
fn message(body: &[u8]) -> String {
    String::from_utf8_lossy(body).trim().chars().take(MAX_MESSAGE_CHARS).collect()
}
