//! Replies and errors that the machine sends to callers, and cancel requests that it gets from
//! them.

use bytes::Bytes;
use flamingorock_core::traffic::{Event, Traffic};
use flamingorock_core::{CallerKey, ResultCode, TransactionStatus};
use flamingorock_frontend::Refusal;
use flamingorock_peer::CallerCancel;

use super::Callers;
use super::caller::{Caller, NextStep};
use crate::io_context::IoContext;
use crate::machine_driver::MachineDriver;
use crate::metrics::CodeLabel;
use crate::net::CallerSocketKey;

impl Callers {
    /// Sends a caller the reply to its request. The caller may have disconnected meanwhile.
    pub fn deliver(
        &mut self,
        io: &mut IoContext,
        machine: &mut MachineDriver<Traffic>,
        session: CallerKey,
        reply: Bytes,
        status: TransactionStatus,
    ) {
        io.metrics.answers.inc();
        let Some((key, caller)) = self.find(session) else { return };
        if let Err(error) = caller.codec.deliver(reply, status, &mut caller.stream.output) {
            // No error can be sent to the caller: part of the reply may have been written already.
            tracing::warn!(%error, "caller's connection closed");
            return self.remove(io, machine, key);
        }
        self.take_next_request(io, machine, key);
    }

    /// Sends a caller an error, because its request has no response from a backend server.
    pub fn refuse(
        &mut self,
        io: &mut IoContext,
        machine: &mut MachineDriver<Traffic>,
        session: CallerKey,
        code: ResultCode,
        status: TransactionStatus,
    ) {
        io.metrics.requests_refused.get_or_create(&CodeLabel { code: code.number() }).inc();
        let Some((key, caller)) = self.find(session) else { return };
        let reply = caller.codec.refuse(&Refusal::new(code, ""), status);
        caller.stream.output.push(reply);
        self.take_next_request(io, machine, key);
    }

    /// Handles a caller's next request after a reply. A caller that does not read its replies is
    /// disconnected when the unwritten output exceeds the limit.
    fn take_next_request(
        &mut self,
        io: &mut IoContext,
        machine: &mut MachineDriver<Traffic>,
        key: CallerSocketKey,
    ) {
        io.dirty.push(key.into());
        let Some(caller) = self.sockets.get_mut(key) else { return };
        let next = match caller.stream.output.check_limit() {
            Ok(()) => caller.handle_messages(io, machine, &self.rules, key.into()),
            Err(_) => NextStep::Close,
        };
        self.apply_step(io, machine, key, next);
    }

    /// Schedules a caller's disconnection at a transaction boundary after a short delay. A request
    /// that arrives before then is still accepted; the machine closes the caller again after the
    /// reply.
    pub fn close(&mut self, io: &mut IoContext, session: CallerKey, code: ResultCode) {
        let now_us = io.now_us;
        let Some((key, caller)) = self.find(session) else { return };
        if !caller.codec.is_in_flight() {
            caller.schedule_disconnect(code, now_us);
            io.deadlines.extend(caller.deadline_us, key.into());
        }
    }

    /// Disconnects a caller after the delay, unless a request has arrived.
    pub(super) fn disconnect_if_idle(
        &mut self,
        io: &mut IoContext,
        machine: &mut MachineDriver<Traffic>,
        key: CallerSocketKey,
    ) {
        let Some(caller) = self.sockets.get_mut(key) else { return };
        let next = caller.read(io, machine, &self.rules, key.into());
        self.apply_step(io, machine, key, next);
        let Some(caller) =
            self.sockets.get_mut(key).filter(|caller| caller.is_disconnect_pending())
        else {
            return;
        };
        match caller.disconnect_code(io.now_us) {
            Some(code) => self.refuse_and_close(io, machine, key, &Refusal::new(code, "")),
            None => {
                let now_us = io.now_us;
                let later = caller.deadline_us.filter(|deadline_us| *deadline_us > now_us);
                io.deadlines.extend(later, key.into());
            }
        }
    }

    /// Passes a cancel request to the machine. A request with an unknown key is ignored.
    pub fn cancel(&self, machine: &mut MachineDriver<Traffic>, cancel: &CallerCancel) {
        let caller = self.keys.find(cancel).and_then(|key| self.sockets.get(key));
        if let Some(session) = caller.and_then(|caller| caller.session) {
            machine.push(Event::CancelRequested { caller: session });
        }
    }

    fn find(&mut self, session: CallerKey) -> Option<(CallerSocketKey, &mut Caller)> {
        let key = *self.by_caller.get(&session)?;
        Some((key, self.sockets.get_mut(key)?))
    }
}
