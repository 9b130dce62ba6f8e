//! `promote DATABASE --to INSTANCE`.

use serde_json::json;

use super::command_report::CommandReport;
use crate::Failure;
use crate::admin::{AdminClient, AdminError};

/// Asks the proxies one after the other to move the primary of a database; only the database's owner
/// takes the command.
pub(crate) fn promote(
    client: &AdminClient<'_>,
    database: &str,
    instance: &str,
) -> Result<CommandReport, Failure> {
    let body = json!({ "database": database, "instance": instance });
    let (mut reasons, mut refused, mut unknown) = (Vec::new(), false, false);
    for &proxy in client.proxies() {
        match client.post(proxy, "/admin/promote", Some(&body)) {
            Ok(()) => {
                let done = format!("database {database} is moving to instance {instance}");
                return Ok(CommandReport { proxy, done });
            }
            Err(error) => {
                refused |= matches!(error, AdminError::Refused { .. });
                unknown |= matches!(error, AdminError::NoAnswer { .. });
                reasons.push(format!("{proxy}: {error}"));
            }
        }
    }
    let reason = reasons.join("; ");
    Err(match (unknown, refused) {
        (true, _) => Failure::Unknown { reason },
        (false, true) => Failure::Refused { reason },
        (false, false) => Failure::Unreachable { reason },
    })
}
