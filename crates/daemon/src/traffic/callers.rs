//! Callers' connections.

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
use caller::{Caller, Next};
use rules::Rules;

/// Sockets beyond the limit of callers: callers that are told of the limit and cancel requests.
const SPARE_SOCKETS: usize = 256;

/// Callers' connections of one traffic thread.
#[derive(Debug)]
pub struct Callers {
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

    /// Accepts the callers that wait at a listener. Returns whether to try again later.
    pub fn accept(&mut self, io: &mut IoContext, listener: &TcpListener) -> bool {
        accept_all(listener, |tcp| {
            if self.sockets.len() < self.callers_limit as usize + SPARE_SOCKETS {
                // A connection that breaks at once costs only itself.
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

    /// Puts the rules of a new configuration into force.
    pub fn set_configuration(&mut self, configuration: &Arc<Configuration>) {
        if self.rules.replace(configuration) {
            for (_, caller) in self.sockets.iter_mut() {
                caller.apply_rules(&self.rules);
            }
        }
    }

    /// Handles an event of a connection. Returns a cancel request if that is what arrived.
    pub fn ready(
        &mut self,
        io: &mut IoContext,
        machine: &mut MachineDriver<Traffic>,
        token: Token,
    ) -> Option<CallerCancel> {
        let key = CallerSocketKey::from(token);
        let caller = self.sockets.get_mut(key)?;
        let next = match caller.write(io, token) {
            Next::Wait => caller.read(io, machine, &self.rules, token),
            other => other,
        };
        self.carry_on(io, machine, key, next)
    }

    /// Writes what was queued for a connection.
    pub fn flush(
        &mut self,
        io: &mut IoContext,
        machine: &mut MachineDriver<Traffic>,
        token: Token,
    ) {
        let key = CallerSocketKey::from(token);
        let Some(caller) = self.sockets.get_mut(key) else { return };
        let next = caller.write(io, token);
        self.carry_on(io, machine, key, next);
    }

    fn carry_on(
        &mut self,
        io: &mut IoContext,
        machine: &mut MachineDriver<Traffic>,
        key: CallerSocketKey,
        next: Next,
    ) -> Option<CallerCancel> {
        match next {
            Next::Wait => {}
            Next::Open(startup) => self.open(io, machine, key, &startup),
            Next::Cancel(cancel) => {
                self.remove(io, machine, key);
                return Some(cancel);
            }
            Next::Refuse(code) => self.refuse_and_close(io, machine, key, &Refusal::new(code, "")),
            Next::Leave => self.close_after_output(io, machine, key),
            Next::Close => self.remove(io, machine, key),
        }
        None
    }

    /// Opens the session of a caller, or tells it why not.
    fn open(
        &mut self,
        io: &mut IoContext,
        machine: &mut MachineDriver<Traffic>,
        key: CallerSocketKey,
        startup: &StartupRequest,
    ) {
        match self.try_open(io, machine, key, startup) {
            // What follows the startup message waits in the codec.
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

    /// Tells a caller why its connection is closed, and closes it once that has been written.
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

    /// Ends a session and closes its connection once everything has been written.
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

    /// Handles the deadline of a connection.
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
        } else if caller.finish(io.now_us) {
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
            self.keys.withdraw(&cancel);
        }
        if let Some(session) = caller.session.take() {
            self.by_caller.remove(&session);
            io.metrics.callers.dec();
            machine.push(Event::CallerClosed { caller: session });
        }
    }
}
