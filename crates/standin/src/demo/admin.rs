//! Status pages of the proxies.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use ureq::Agent;

use super::settings::ADMIN_KEY;

/// Limit of one call. A proxy answers from memory.
const CALL_LIMIT: Duration = Duration::from_secs(5);

/// Details of the only database, if the proxy owns it.
pub(super) fn owned(admin: SocketAddr) -> Result<Option<Value>, String> {
    let agent: Agent = Agent::config_builder().timeout_global(Some(CALL_LIMIT)).build().into();
    let request = agent.get(format!("http://{admin}/admin/status"));
    let request = request.header("Authorization", format!("Bearer {ADMIN_KEY}"));
    let mut answer = request.call().map_err(|error| error.to_string())?;
    let text = answer.body_mut().read_to_string().map_err(|error| error.to_string())?;
    let status: Value = serde_json::from_str(&text).map_err(|error| error.to_string())?;
    let owned = &status["databases"][0]["owned"];
    Ok((!owned.is_null()).then(|| owned.clone()))
}
