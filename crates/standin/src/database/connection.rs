//! One client connection: startup, and the simple and extended query protocols.

use std::collections::BTreeMap;
use std::hash::{BuildHasher, RandomState};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use pgwire::messages::response::{CommandComplete, EmptyQueryResponse};
use pgwire::messages::startup::{
    Authentication, BackendKeyData, NegotiateProtocolVersion, ParameterStatus, SecretKey, Startup,
};
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage};

use super::error::{ConnectionError, SqlError};
use super::execute::Outcome;
use super::extended::{Portal, Prepared};
use super::instance::{Instance, SessionEntry};
use super::replication;
use super::session::Session;
use super::sql::{Statement, parse};
use super::wire::{Formats, Start, Wire};

/// Settings that clients expect to be told at startup.
const PARAMETERS: [(&str, &str); 6] = [
    ("server_version", "16.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
];

pub(crate) struct Connection {
    pub(crate) session: Session,
    pub(crate) wire: Wire,
    pub(crate) statements: BTreeMap<String, Prepared>,
    pub(crate) portals: BTreeMap<String, Portal>,
    /// Set after an error in the extended protocol; messages are skipped up to the next `Sync`.
    pub(crate) skips_to_sync: bool,
}

/// Serves one accepted connection until it ends.
pub(crate) fn serve(instance: &Arc<Instance>, stream: TcpStream, is_control: bool) {
    let result = match start(instance, Wire::new(stream), is_control) {
        Ok(Some(mut connection)) => connection.run(),
        Ok(None) => Ok(()),
        Err(error) => Err(error),
    };
    if let Err(error) = result {
        tracing::debug!(%error, "connection ended");
    }
}

/// Handles the startup packets; `None` when they did not ask for a session.
fn start(
    instance: &Arc<Instance>,
    mut wire: Wire,
    is_control: bool,
) -> Result<Option<Connection>, ConnectionError> {
    loop {
        let start = wire.read_start()?;
        if let Start::Replication = start {
            return replication::serve(instance, wire.into_stream()).map(|()| None);
        }
        if !is_control && !instance.wait_fault(|faults| faults.cut_proxies) {
            return Err(ConnectionError::Stopped);
        }
        match start {
            Start::Encryption => wire.refuse_encryption()?,
            Start::Message(PgWireFrontendMessage::CancelRequest(request)) => {
                instance.cancel(request.pid, request.secret_key.as_i32());
                return Ok(None);
            }
            Start::Message(PgWireFrontendMessage::Startup(startup)) => {
                return open_session(instance, wire, &startup, is_control);
            }
            _ => return Err(ConnectionError::Protocol("no startup packet".to_owned())),
        }
    }
}

fn open_session(
    instance: &Arc<Instance>,
    mut wire: Wire,
    startup: &Startup,
    is_control: bool,
) -> Result<Option<Connection>, ConnectionError> {
    let Some((session, secret, connect_time)) = register(instance, is_control) else {
        if !instance.lock().faults.refuse_connections {
            wire.push_error(&SqlError::new("53300", "sorry, too many clients already"))?;
        }
        return wire.flush().map(|()| None);
    };
    if !is_control && !connect_time.is_zero() {
        // An error means that the instance stopped; the next read then ends the connection.
        let _ = instance.wait_statement(session.process_id, Some(connect_time), |_| false);
    }
    let (statements, portals) = (BTreeMap::new(), BTreeMap::new());
    let mut connection = Connection { session, wire, statements, portals, skips_to_sync: false };
    if startup.protocol_number_minor > 0 {
        let negotiate = NegotiateProtocolVersion::new(0, Vec::new());
        connection.wire.push(PgWireBackendMessage::NegotiateProtocolVersion(negotiate))?;
    }
    connection.greet(secret)?;
    Ok(Some(connection))
}

/// Takes one of the connections of the instance; `None` when there is none left.
fn register(instance: &Arc<Instance>, is_control: bool) -> Option<(Session, i32, Duration)> {
    let secret = RandomState::new().hash_one(0_u8) as i32;
    let mut state = instance.lock();
    let is_full = state.connections >= instance.connections_limit;
    if !is_control && (is_full || state.faults.refuse_connections) {
        return None;
    }
    state.connections += usize::from(!is_control);
    state.last_process_id += 1;
    let process_id = state.last_process_id;
    state.sessions.insert(process_id, SessionEntry { secret, ..SessionEntry::default() });
    let connect_time = Duration::from_micros(state.faults.connect_time_us);
    drop(state);
    Some((Session::new(Arc::clone(instance), process_id, is_control), secret, connect_time))
}

impl Connection {
    fn greet(&mut self, secret: i32) -> Result<(), ConnectionError> {
        self.wire.push(PgWireBackendMessage::Authentication(Authentication::Ok))?;
        for (name, value) in PARAMETERS {
            let status = ParameterStatus::new(name.to_owned(), value.to_owned());
            self.wire.push(PgWireBackendMessage::ParameterStatus(status))?;
        }
        let key = BackendKeyData::new(self.session.process_id, SecretKey::I32(secret));
        self.wire.push(PgWireBackendMessage::BackendKeyData(key))?;
        self.ready()
    }

    fn run(&mut self) -> Result<(), ConnectionError> {
        loop {
            let message = self.wire.read()?;
            self.wait_uncut()?;
            self.set_running(true);
            match message {
                PgWireFrontendMessage::Terminate(_) => return Ok(()),
                PgWireFrontendMessage::Query(query) => self.simple_query(&query.query)?,
                message => self.extended(message)?,
            }
        }
    }

    /// Waits while the instance is cut off from the proxies.
    fn wait_uncut(&self) -> Result<(), ConnectionError> {
        let instance = &self.session.instance;
        if !self.session.is_control && !instance.wait_fault(|faults| faults.cut_proxies) {
            return Err(ConnectionError::Stopped);
        }
        Ok(())
    }

    /// Opens or closes the time in which a cancel request has an effect.
    fn set_running(&self, running: bool) {
        let mut state = self.session.instance.lock();
        if let Some(session) = state.sessions.get_mut(&self.session.process_id) {
            session.cancelled &= session.running;
            session.running = running;
        }
    }

    /// Sends all answers, or none if the fault `drop_answer` applied to one of them.
    pub(crate) fn flush(&mut self) -> Result<(), ConnectionError> {
        self.wait_uncut()?;
        if self.session.answer_dropped {
            return Err(ConnectionError::AnswerDropped);
        }
        self.wire.flush()
    }

    /// Ends the answer to a simple query or `Sync`.
    pub(crate) fn ready(&mut self) -> Result<(), ConnectionError> {
        self.set_running(false);
        self.wire.push_ready(self.session.block)?;
        self.flush()
    }

    fn simple_query(&mut self, sql: &str) -> Result<(), ConnectionError> {
        let statements = match parse(sql) {
            Ok(statements) => statements,
            Err(error) => {
                self.session.fail();
                self.wire.push_error(&error)?;
                return self.ready();
            }
        };
        if statements.is_empty() {
            let empty = EmptyQueryResponse::new();
            self.wire.push(PgWireBackendMessage::EmptyQueryResponse(empty))?;
        }
        for statement in &statements {
            if let Err(error) = self.simple_statement(statement)? {
                self.session.fail();
                self.wire.push_error(&error)?;
                return self.ready();
            }
        }
        if let Err(error) = self.session.finish_implicit() {
            self.session.fail();
            self.wire.push_error(&error)?;
        }
        self.ready()
    }

    fn simple_statement(
        &mut self,
        statement: &Statement,
    ) -> Result<Result<(), SqlError>, ConnectionError> {
        let description = match self.session.describe(statement, &[]) {
            Ok(description) => description,
            Err(error) => return Ok(Err(error)),
        };
        let outcome = match self.session.run(statement, &[]) {
            Ok(outcome) => outcome,
            Err(error) => return Ok(Err(error)),
        };
        let formats = Formats::default();
        if !description.columns.is_empty() {
            self.wire.push_description(&description.columns, &formats)?;
        }
        for row in &outcome.rows {
            self.wire.push_row(row, &description.columns, &formats)?;
        }
        self.complete(statement, &outcome)?;
        Ok(Ok(()))
    }

    /// Pushes the command tag and carries out what concerns the connection rather than its data.
    pub(crate) fn complete(
        &mut self,
        statement: &Statement,
        outcome: &Outcome,
    ) -> Result<(), ConnectionError> {
        match statement {
            Statement::DiscardAll | Statement::Deallocate(None) => self.statements.clear(),
            Statement::Deallocate(Some(name)) => drop(self.statements.remove(name)),
            _ => {}
        }
        let complete = CommandComplete::new(outcome.tag.clone());
        self.wire.push(PgWireBackendMessage::CommandComplete(complete))
    }
}
