//! `drain HOST`.

use core::net::SocketAddr;

use serde_json::Value;

use super::command_report::CommandReport;
use crate::Failure;
use crate::admin::{AdminClient, AdminError, Answers, MissingProxy};

/// Tells the proxy of a host to shut down gracefully. The host is found by the field `host` (its
/// number) or `name` of its status.
pub(crate) fn drain(client: &AdminClient<'_>, host: &str) -> Result<CommandReport, Failure> {
    let Answers { answers, missing } = client.get_all::<Value>("/admin/status")?;
    let Some(proxy) = find(&answers, host) else { return Err(not_found(host, &missing)) };
    match client.post(proxy, "/admin/drain", None) {
        Ok(()) => Ok(CommandReport { proxy, done: format!("host {host} is draining") }),
        Err(error @ AdminError::Unreachable { .. }) => {
            Err(Failure::Unreachable { reason: format!("{proxy}: {error}") })
        }
        Err(error @ AdminError::Refused { .. }) => {
            Err(Failure::Refused { reason: format!("{proxy}: {error}") })
        }
        Err(error @ AdminError::NoAnswer { .. }) => Err(Failure::Unknown {
            reason: format!("{proxy}: {error}; host {host} may be draining"),
        }),
    }
}

fn find(answers: &[(SocketAddr, Value)], host: &str) -> Option<SocketAddr> {
    let matches = |status: &Value| {
        let number = status.get("host").and_then(Value::as_u64);
        let name = status.get("name").and_then(Value::as_str);
        number.is_some_and(|number| number.to_string() == host) || name == Some(host)
    };
    answers.iter().find(|(_, status)| matches(status)).map(|(proxy, _)| *proxy)
}

fn not_found(host: &str, missing: &[MissingProxy]) -> Failure {
    if missing.is_empty() {
        return Failure::Refused { reason: format!("none of the proxies is host {host}") };
    }
    let lines: Vec<_> = missing.iter().map(ToString::to_string).collect();
    Failure::Unreachable {
        reason: format!("no proxy that answers is host {host}; no answer: {}", lines.join("; ")),
    }
}
