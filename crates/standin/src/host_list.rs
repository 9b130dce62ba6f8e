//! Host list: the part of the Consul catalog HTTP API that the design page names.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::http::{self, Reply, Request};
use crate::server::{self, Server};

/// One host, as in the answer to `GET /v1/catalog/nodes`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "PascalCase")]
struct Host {
    node: String,
    address: String,
    datacenter: String,
    /// `state` is `live` or `leaving`.
    meta: BTreeMap<String, String>,
}

#[derive(Debug, Default)]
struct State {
    visible: Vec<Host>,
    /// Index of the last change that is visible.
    index: u64,
    /// Lists that become visible later, with the time of that.
    pending: VecDeque<(Instant, Vec<Host>)>,
    lag_ms: u64,
    is_out: bool,
}

/// A running host list; it stops when the handle is dropped.
///
/// `PUT /standin/hosts` replaces the list. `PUT /standin/fault?NAME=VALUE` sets the faults `lag_ms`
/// (time until a later change of the list is visible) and `outage` (`true`: no answers).
pub struct HostList {
    server: Server,
}

impl HostList {
    /// Starts an empty list. Port 0 lets the system choose the port.
    ///
    /// # Errors
    ///
    /// Fails when the port cannot be bound.
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(State::default()));
        let serve =
            move |stream| http::serve(stream, |request| server::lock(&state).handle(request));
        Ok(Self { server: Server::spawn(TcpListener::bind(address)?, serve)? })
    }

    /// Address of the HTTP port.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Ends the service.
    pub fn stop(self) {
        drop(self);
    }
}

impl State {
    fn handle(&mut self, request: &Request) -> Reply {
        let now = Instant::now();
        match (request.method.as_str(), request.path.as_str()) {
            ("PUT", "/standin/hosts") => match serde_json::from_slice(&request.body) {
                Ok(hosts) => {
                    self.pending.push_back((now + Duration::from_millis(self.lag_ms), hosts));
                    Reply::text(200, "true")
                }
                Err(error) => Reply::text(400, format!("malformed host list: {error}")),
            },
            ("PUT", "/standin/fault") => match self.set_faults(&request.query) {
                Some(()) => Reply::text(200, "true"),
                None => Reply::text(400, "known faults: lag_ms=N, outage=true|false"),
            },
            ("GET", "/v1/catalog/nodes") if self.is_out => Reply::Withhold,
            ("GET", "/v1/catalog/nodes") => {
                while self.pending.front().is_some_and(|(due_at, _)| *due_at <= now) {
                    let Some((_, hosts)) = self.pending.pop_front() else { break };
                    self.visible = hosts;
                    self.index += 1;
                }
                Reply::json(&json!(self.visible)).with_index(self.index.max(1))
            }
            _ => Reply::text(404, "no such path"),
        }
    }

    fn set_faults(&mut self, query: &BTreeMap<String, String>) -> Option<()> {
        for (name, value) in query {
            match name.as_str() {
                "lag_ms" => self.lag_ms = value.parse::<u32>().ok()?.into(),
                "outage" => self.is_out = value.parse().ok()?,
                _ => return None,
            }
        }
        Some(())
    }
}
