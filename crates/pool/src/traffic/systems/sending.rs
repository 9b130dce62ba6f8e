//! Sends a request on a connection, in up to three steps: session state, begin, statement.

use bytes::Bytes;

use super::super::connection::Outstanding;
use super::super::request::Stage;
use super::super::session::Transaction;
use super::super::tables::Tables;
use super::super::{Command, Statement};
use crate::{ConnectionKey, SessionKey};

/// Prepared statements that a connection may hold before it is reset.
const MAX_PREPARED: usize = 256;

/// Assigns a connection to a queued request and starts sending.
pub fn assign_connection(
    tables: &mut Tables,
    key: SessionKey,
    connection: ConnectionKey,
    now_us: u64,
) {
    if let Some(row) = tables.connections.get_mut(connection) {
        row.session = Some(key);
    }
    start_sending(tables, key, connection, now_us);
}

/// Starts sending a request on the connection that is assigned to its session.
pub fn start_sending(tables: &mut Tables, key: SessionKey, connection: ConnectionKey, now_us: u64) {
    let commands = sync_commands(tables, key, connection);
    if commands.is_empty() {
        return send_next(tables, key, connection, now_us);
    }
    set_stage(tables, key, Stage::Syncing { connection });
    for command in commands {
        record_sync(tables, connection, &command);
        tables.send(connection, Outstanding::Sync, command, now_us);
    }
}

/// Sends the next step after the session state: the begin of the transaction, or the statement.
pub fn send_next(tables: &mut Tables, key: SessionKey, connection: ConnectionKey, now_us: u64) {
    let Some(session) = tables.sessions.get_mut(key) else { return };
    let Some(request) = &mut session.request else { return };
    if let Transaction::Begun { id, text, .. } = &session.transaction {
        request.stage = Stage::Beginning { connection };
        request.sent_us = now_us;
        let command = Command::Forward {
            id: id.clone(),
            text: text.clone(),
            min_position: request.min_position,
        };
        return tables.send(connection, Outstanding::Begin, command, now_us);
    }
    send_statement(tables, key, connection, now_us);
}

/// Sends the statement itself.
pub fn send_statement(
    tables: &mut Tables,
    key: SessionKey,
    connection: ConnectionKey,
    now_us: u64,
) {
    let Some(session) = tables.sessions.get_mut(key) else { return };
    let in_transaction = session.pinned_connection().is_some();
    let Some(request) = &mut session.request else { return };
    request.stage = Stage::Running { connection };
    request.sent_us = now_us;
    // Inside a transaction the position was already required by its begin.
    let min_position = request.min_position.filter(|_| !in_transaction);
    let id = request.query.id.clone();
    let command = match &request.query.statement {
        Statement::Execute { name, arguments } => {
            let arguments = arguments.clone();
            let found = session.prepared.iter().find(|(existing, _)| existing == name);
            // The name was checked when the statement arrived, and only the session itself can
            // remove it.
            let Some((_, prepared)) = found else { return };
            Command::Execute { id, prepared: *prepared, arguments, min_position }
        }
        _ => Command::Forward { id, text: request.query.text.clone(), min_position },
    };
    if let Transaction::Open { has_written, .. } = &mut session.transaction {
        *has_written |= request.is_write;
    }
    tables.send(connection, Outstanding::Statement, command, now_us);
}

fn set_stage(tables: &mut Tables, key: SessionKey, stage: Stage) {
    if let Some(request) = tables.sessions.get_mut(key).and_then(|row| row.request.as_mut()) {
        request.stage = stage;
    }
}

/// Commands that give a connection the session's variables and the prepared statement that the
/// request executes.
fn sync_commands(tables: &Tables, key: SessionKey, connection: ConnectionKey) -> Vec<Command> {
    let Some(session) = tables.sessions.get(key) else { return Vec::new() };
    let Some(connection) = tables.connections.get(connection) else { return Vec::new() };
    let is_leftover = |(name, _): &(Bytes, Bytes)| {
        !session.variables.iter().any(|(existing, _)| existing == name)
    };
    let is_full =
        connection.prepared.len() >= MAX_PREPARED && session.pinned_connection().is_none();
    let needs_reset = is_full || connection.variables.iter().any(is_leftover);
    let mut commands = Vec::new();
    if needs_reset {
        commands.push(Command::Reset);
    }
    for (name, value) in &session.variables {
        let is_set = connection
            .variables
            .iter()
            .any(|(existing, present)| existing == name && present == value);
        if needs_reset || !is_set {
            commands.push(Command::Set { name: name.clone(), value: value.clone() });
        }
    }
    if let Some(Statement::Execute { name, .. }) =
        session.request.as_ref().map(|request| &request.query.statement)
        && let Some(id) = session.prepared_id(name)
        && (needs_reset || !connection.prepared.contains(&id))
    {
        let statement = tables.prepared.get(id);
        commands.push(Command::Prepare {
            prepared: id,
            mode: statement.mode,
            shape: statement.shape.clone(),
        });
    }
    commands
}

/// Records what the connection will hold once the command succeeds. If one fails, the connection is
/// closed.
fn record_sync(tables: &mut Tables, connection: ConnectionKey, command: &Command) {
    let Some(connection) = tables.connections.get_mut(connection) else { return };
    match command {
        Command::Reset => {
            connection.variables.clear();
            connection.prepared.clear();
        }
        Command::Set { name, value } => {
            connection.variables.retain(|(existing, _)| existing != name);
            connection.variables.push((name.clone(), value.clone()));
            connection.variables.sort();
        }
        Command::Prepare { prepared, .. } => connection.prepared.push(*prepared),
        _ => {}
    }
}
