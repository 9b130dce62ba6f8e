//! `status`.

use core::fmt;
use core::net::SocketAddr;

use serde::Serialize;
use serde_json::Value;

use super::value_text::value_text;
use crate::Failure;
use crate::admin::{AdminClient, Answers, MissingProxy};

/// Status of the proxies that answered, in the order of the arguments.
#[derive(Debug, Serialize)]
pub(crate) struct StatusReport {
    proxies: Vec<ProxyStatus>,
    missing: Vec<MissingProxy>,
}

/// Status of a proxy, in the form that the proxy gave it.
#[derive(Debug, Serialize)]
struct ProxyStatus {
    proxy: SocketAddr,
    status: Value,
}

/// Reads the status of all given proxies.
pub(crate) fn status(client: &AdminClient<'_>) -> Result<StatusReport, Failure> {
    let Answers { answers, missing } = client.get_all("/admin/status")?;
    let proxies =
        answers.into_iter().map(|(proxy, status)| ProxyStatus { proxy, status }).collect();
    Ok(StatusReport { proxies, missing })
}

impl fmt::Display for StatusReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let proxies = self
            .proxies
            .iter()
            .map(|entry| format!("proxy {}\n{}", entry.proxy, value_text(&entry.status)));
        let missing = self.missing.iter().map(|missing| format!("no answer from {missing}"));
        f.write_str(&proxies.chain(missing).collect::<Vec<_>>().join("\n\n"))
    }
}
