//! Connections of callers.

mod answers;
mod caller;
mod pending_disconnect;
mod rules;

use std::collections::HashMap;
use std::sync::Arc;

use flamingorock_core::arena::Arena;
use flamingorock_core::configuration::Configuration;
use flamingorock_core::traffic::{Event, Traffic, TrafficConfig};
use flamingorock_core::{CallerKey, ResultCode};
use flamingorock_frontend::{Refusal, StartupRequest};
use flamingorock_peer::CallerCancel;
use mio::Token;
use mio::net::{TcpListener, TcpStream};

use super::CancelKeys;
use crate::io_context::IoContext;
use crate::machine_driver::MachineDriver;
use crate::metrics::CodeLabel;
use crate::net::{CALLER_TCP_TIMEOUT, CallerSocketKey, accept_all, set_stream_options};
use caller::{Caller, NextStep};
use rules::Rules;

/// Sockets accepted beyond the limit of callers, for cancel requests and for callers that get the
/// error that the limit is reached.
const EXTRA_SOCKETS: usize = 256;

/// Table of one traffic thread's connections of callers.
#[derive(Debug)]
pub struct Callers {
    /// Limit of the whole process.
    callers_limit: u32,
    keys: CancelKeys,
    rules: Rules,
    sockets: Arena<CallerSocketKey, Caller>,
    by_caller: HashMap<CallerKey, CallerSocketKey>,
}

impl Callers {
    /// Creates the table of a traffic thread. `callers_limit` is that of the process.
    #[must_use]
    pub fn new(config: &TrafficConfig, callers_limit: u32) -> Self {
        Self {
            callers_limit,
            keys: CancelKeys::new(config.host, config.thread),
            rules: Rules::default(),
            sockets: Arena::new(),
            by_caller: HashMap::new(),
        }
    }

    /// Whether no connection is left.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.sockets.is_empty()
    }

    /// Accepts the pending connections of a listener. Returns whether accepting failed and is to be
    /// retried later.
    pub fn accept(&mut self, io: &mut IoContext, listener: &TcpListener) -> bool {
        accept_all(listener, |tcp| {
            if self.sockets.len() < self.callers_limit as usize + EXTRA_SOCKETS {
                // If the setup of one connection fails, only that connection is dropped.
                let _ = self.add(io, tcp);
            }
        })
    }

    fn add(&mut self, io: &mut IoContext, tcp: TcpStream) -> std::io::Result<()> {
        set_stream_options(&tcp, CALLER_TCP_TIMEOUT)?;
        let key = self.sockets.insert(Caller::new(tcp, io.now_us));
        let caller = self.sockets.get_mut(key).expect("just inserted");
        if let Err(error) = io.register(&mut caller.stream.tcp, key.into()) {
            self.sockets.remove(key);
            return Err(error);
        }
        io.deadlines.extend(caller.deadline_us, key.into());
        io.metrics.callers_accepted.inc();
        Ok(())
    }

    /// Applies the service rules of a new configuration to all connections.
    pub fn set_configuration(&mut self, configuration: &Arc<Configuration>) {
        if self.rules.set_configuration(configuration) {
            for (_, caller) in self.sockets.iter_mut() {
                caller.apply_rules(&self.rules);
            }
        }
    }

    /// Handles readiness of a connection's socket. Returns a cancel request if one arrived in place
    /// of a startup message.
    pub fn ready(
        &mut self,
        io: &mut IoContext,
        machine: &mut MachineDriver<Traffic>,
        token: Token,
    ) -> Option<CallerCancel> {
        let key = CallerSocketKey::from(token);
        let caller = self.sockets.get_mut(key)?;
        let next = match caller.write(io, token) {
            NextStep::Wait => caller.read(io, machine, &self.rules, token),
            other => other,
        };
        self.apply_step(io, machine, key, next)
    }

    /// Writes the queued output of a connection.
    pub fn flush(
        &mut self,
        io: &mut IoContext,
        machine: &mut MachineDriver<Traffic>,
        token: Token,
    ) {
        let key = CallerSocketKey::from(token);
        let Some(caller) = self.sockets.get_mut(key) else { return };
        let next = caller.write(io, token);
        self.apply_step(io, machine, key, next);
    }

    /// Performs the next step of a connection. Returns the cancel request if there is one.
    fn apply_step(
        &mut self,
        io: &mut IoContext,
        machine: &mut MachineDriver<Traffic>,
        key: CallerSocketKey,
        next: NextStep,
    ) -> Option<CallerCancel> {
        match next {
            NextStep::Wait => {}
            NextStep::Open(startup) => self.open(io, machine, key, &startup),
            NextStep::Cancel(cancel) => {
                self.remove(io, machine, key);
                return Some(cancel);
            }
            NextStep::Refuse(code) => {
                self.refuse_and_close(io, machine, key, &Refusal::new(code, ""))
            }
            NextStep::CloseAfterOutput => self.close_after_output(io, machine, key),
            NextStep::Close => self.remove(io, machine, key),
        }
        None
    }

    /// Opens the session of a caller, or refuses it with an error and closes the connection.
    fn open(
        &mut self,
        io: &mut IoContext,
        machine: &mut MachineDriver<Traffic>,
        key: CallerSocketKey,
        startup: &StartupRequest,
    ) {
        match self.try_open(io, machine, key, startup) {
            // The codec may hold bytes that arrived after the startup message.
            Ok(()) => io.pending_reads.push_back(key.into()),
            Err(refusal) => self.refuse_and_close(io, machine, key, &refusal),
        }
    }

    fn try_open(
        &mut self,
        io: &mut IoContext,
        machine: &mut MachineDriver<Traffic>,
        key: CallerSocketKey,
        startup: &StartupRequest,
    ) -> Result<(), Refusal> {
        let refuse = |code| Refusal::new(code, startup.database.clone());
        if io.metrics.callers.get() >= i64::from(self.callers_limit) {
            return Err(refuse(ResultCode::TooManyCallers));
        }
        let opened = self.rules.open_caller(machine.machine_mut(), &startup.database);
        let (session, database) = opened.map_err(refuse)?;
        let cancel = self.keys.issue(key);
        let greeting = self.rules.greeting(database, cancel);
        let caller = self.sockets.get_mut(key).expect("the caller has just sent a message");
        io.metrics.callers.inc();
        caller.session = Some(session);
        caller.cancel_key = Some(cancel);
        self.by_caller.insert(session, key);
        caller.greet(startup, &greeting, database, &self.rules)?;
        io.dirty.push(key.into());
        Ok(())
    }

    /// Sends a caller the reason as a fatal error, and closes its connection once that is written.
    fn refuse_and_close(
        &mut self,
        io: &mut IoContext,
        machine: &mut MachineDriver<Traffic>,
        key: CallerSocketKey,
        refusal: &Refusal,
    ) {
        let label = CodeLabel { code: refusal.code.number() };
        io.metrics.callers_refused.get_or_create(&label).inc();
        if let Some(caller) = self.sockets.get_mut(key) {
            caller.stream.output.push(refusal.encode_fatal());
            self.close_after_output(io, machine, key);
        }
    }

    /// Ends a session and closes its connection once all output has been written.
    fn close_after_output(
        &mut self,
        io: &mut IoContext,
        machine: &mut MachineDriver<Traffic>,
        key: CallerSocketKey,
    ) {
        self.end_session(io, machine, key);
        if let Some(caller) = self.sockets.get_mut(key) {
            caller.start_closing(io.now_us);
            io.deadlines.extend(caller.deadline_us, key.into());
            io.dirty.push(key.into());
        }
    }

    /// Handles the deadline of a connection. Entries whose deadline has since been moved or removed
    /// are ignored.
    pub fn expire(
        &mut self,
        io: &mut IoContext,
        machine: &mut MachineDriver<Traffic>,
        token: Token,
    ) {
        let key = CallerSocketKey::from(token);
        let Some(caller) = self.sockets.get_mut(key) else { return };
        if !caller.is_overdue(io.now_us) {
            return;
        }
        if caller.is_disconnect_pending() {
            self.disconnect_if_idle(io, machine, key);
        } else if caller.half_close(io.now_us) {
            io.deadlines.extend(caller.deadline_us, key.into());
        } else {
            self.remove(io, machine, key);
        }
    }

    fn remove(
        &mut self,
        io: &mut IoContext,
        machine: &mut MachineDriver<Traffic>,
        key: CallerSocketKey,
    ) {
        self.end_session(io, machine, key);
        if let Some(mut caller) = self.sockets.remove(key) {
            // The socket is closed right after; a failure to deregister it changes nothing.
            let _ = io.registry.deregister(&mut caller.stream.tcp);
        }
    }

    fn end_session(
        &mut self,
        io: &mut IoContext,
        machine: &mut MachineDriver<Traffic>,
        key: CallerSocketKey,
    ) {
        let Some(caller) = self.sockets.get_mut(key) else { return };
        if let Some(cancel) = caller.cancel_key.take() {
            self.keys.revoke(&cancel);
        }
        if let Some(session) = caller.session.take() {
            self.by_caller.remove(&session);
            io.metrics.callers.dec();
            machine.push(Event::CallerClosed { caller: session });
        }
    }
}
