//! Statements that depend on the state of a session.

use flamingorock_core::ResultCode;

use super::Token;
use crate::refusal::Refusal;

/// Refusal of a statement that would leave state in the session of a backend server connection, or
/// that needs such state; `None` for all others.
pub(crate) fn unsupported_statement(head: &[Token<'_>]) -> Option<Refusal> {
    let first = head.first()?;
    let second = head.get(1).copied().unwrap_or(Token::Symbol(b';'));
    if first.is("copy") {
        return Some(Refusal::unsupported("COPY", "Use INSERT with several rows, or SELECT."));
    }
    if first.is_any(&["listen", "notify", "unlisten"]) {
        return Some(Refusal::unsupported(
            "LISTEN, NOTIFY and UNLISTEN",
            "Connect to the backend server directly, or read a table at intervals.",
        ));
    }
    if (first.is("prepare") && !second.is("transaction"))
        || first.is_any(&["execute", "deallocate"])
    {
        return Some(Refusal::unsupported(
            "PREPARE, EXECUTE and DEALLOCATE as statements",
            "Use prepared statements of the protocol, as drivers do.",
        ));
    }
    if first.is("set") && !is_transaction_setting(second) || first.is("reset") {
        return Some(session_setting(head));
    }
    if first.is("discard") {
        return Some(Refusal::unsupported("this form of DISCARD", "Use DISCARD ALL."));
    }
    if first.is("create") && head.iter().take(5).any(|token| token.is_any(&["temp", "temporary"])) {
        return Some(temporary_table());
    }
    None
}

/// Refusal of a setting that would stay with the connection.
fn session_setting(head: &[Token<'_>]) -> Refusal {
    let verb = if head[0].is("set") { "SET" } else { "RESET" };
    let name = head[1..].iter().find(|token| !token.is("session")).and_then(Token::value);
    let detail = format!("{verb} {} for the session", name.unwrap_or_default());
    Refusal {
        hint: Some(
            "Use SET LOCAL inside a transaction, or a setting of the role at the backend server.",
        ),
        ..Refusal::new(ResultCode::Unsupported, detail)
    }
}

/// Refusal of temporary tables.
pub(super) fn temporary_table() -> Refusal {
    Refusal::unsupported("temporary tables", "Use an ordinary table or a WITH query.")
}

/// Whether a setting ends with the transaction.
fn is_transaction_setting(scope: Token<'_>) -> bool {
    scope.is_any(&["local", "transaction", "constraints"])
}
