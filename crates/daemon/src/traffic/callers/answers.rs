//! What the machine has callers told.

use bytes::Bytes;
use flamingorock_core::traffic::{Event, Traffic};
use flamingorock_core::{CallerKey, ResultCode, TransactionStatus};
use flamingorock_frontend::Refusal;
use flamingorock_peer::CallerCancel;

use super::Callers;
use super::caller::{Caller, Next};
use crate::io_context::IoContext;
use crate::machine_driver::MachineDriver;
use crate::metrics::CodeLabel;
use crate::net::CallerSocketKey;

impl Callers {
    /// Delivers an answer.
    pub fn deliver(
        &mut self,
        io: &mut IoContext,
        machine: &mut MachineDriver<Traffic>,
        session: CallerKey,
        answer: Bytes,
        status: TransactionStatus,
    ) {
        io.metrics.answers.inc();
        let Some((key, caller)) = self.find(session) else { return };
        if let Err(error) = caller.codec.deliver(answer, status, &mut caller.stream.output) {
            // The caller cannot be told more: part of the answer may have been passed on.
            tracing::warn!(%error, "caller's connection closed");
            return self.remove(io, machine, key);
        }
        self.go_on(io, machine, key);
    }

    /// Tells a caller that its request was not answered by a backend server.
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
        let answer = caller.codec.refuse(&Refusal::new(code, ""), status);
        caller.stream.output.push(answer);
        self.go_on(io, machine, key);
    }

    /// Takes up a caller's next request after an answer. A caller that does not read its answers is
    /// disconnected when they exceed the limit.
    fn go_on(
        &mut self,
        io: &mut IoContext,
        machine: &mut MachineDriver<Traffic>,
        key: CallerSocketKey,
    ) {
        io.dirty.push(key.into());
        let Some(caller) = self.sockets.get_mut(key) else { return };
        let next = match caller.stream.output.check_limit() {
            Ok(()) => caller.take_messages(io, machine, &self.rules, key.into()),
            Err(_) => Next::Close,
        };
        self.carry_on(io, machine, key, next);
    }

    /// Closes a caller's connection at a transaction boundary, after a pause. A request that
    /// arrives by then is taken in; the machine closes the caller again after the answer.
    pub fn close(&mut self, io: &mut IoContext, session: CallerKey, code: ResultCode) {
        let now_us = io.now_us;
        let Some((key, caller)) = self.find(session) else { return };
        if !caller.codec.is_in_flight() {
            caller.schedule_disconnect(code, now_us);
            io.deadlines.extend(caller.deadline_us, key.into());
        }
    }

    /// Disconnects a caller after the pause, unless a request has arrived.
    pub(super) fn disconnect_if_idle(
        &mut self,
        io: &mut IoContext,
        machine: &mut MachineDriver<Traffic>,
        key: CallerSocketKey,
    ) {
        let Some(caller) = self.sockets.get_mut(key) else { return };
        let next = caller.read(io, machine, &self.rules, key.into());
        self.carry_on(io, machine, key, next);
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

    /// Passes on a cancel request for a caller of this thread.
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
