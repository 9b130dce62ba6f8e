//! Performs the actions of the traffic machine and handles messages from other threads.

use std::sync::Arc;

use flamingorock_core::control::InstanceOperation;
use flamingorock_core::message::{Outcome, TrafficMessage};
use flamingorock_core::traffic::{Action, ConnectionLoss, Event};
use flamingorock_core::{ConnectionKey, HostId, InstanceId, RequestKey, ResultCode, View};

use super::{Statistics, TrafficThread};
use crate::links::SendError;
use crate::monitors::{InstanceCall, MonitorTarget};
use crate::thread_messages::{ControlThreadMessage, TrafficThreadMessage};

impl TrafficThread {
    pub(super) fn perform(&mut self, action: Action) {
        let (io, machine) = (&mut self.io, &mut self.machine);
        match action {
            Action::Deliver { caller, response, status } => {
                self.callers.deliver(io, machine, caller, response, status);
            }
            Action::Refuse { caller, code, status } => {
                self.callers.refuse(io, machine, caller, code, status);
            }
            Action::CloseCaller { caller, code } => self.callers.close(io, caller, code),
            Action::Send { host, request, message } => self.send(host, request, message),
            Action::OpenConnection { connection, instance } => self.open(connection, instance),
            Action::Execute { connection, work, payload, max_answer_bytes } => {
                self.backends.execute(io, connection, work, payload, max_answer_bytes);
            }
            Action::ResetConnection { connection } => self.backends.reset(io, connection),
            Action::CancelConnection { connection } => {
                if let Some((address, request)) = self.backends.cancel_request(connection) {
                    self.cancels.start(io, address, request);
                }
            }
            Action::CloseConnection { connection } => self.backends.close(io, connection),
            Action::Probe { instance, probe_number, deadline_us } => {
                self.probe(instance, probe_number, deadline_us);
            }
            Action::ReportQuiescent { database, epoch } => {
                self.router.send_to_control(ControlThreadMessage::Quiescent { database, epoch });
            }
            Action::ReportSuperseded { database, epoch } => {
                self.router.send_to_control(ControlThreadMessage::Superseded { database, epoch });
            }
        }
    }

    fn send(&mut self, host: HostId, request: Option<RequestKey>, message: TrafficMessage) {
        if host == self.config.host {
            return self.route_message(host, message);
        }
        match (self.outgoing.send(&mut self.io, host, &message, request), request) {
            (Err(_), Some(request)) => self.machine.push(Event::SendFailed { host, request }),
            (Err(SendError::TooLarge), None) => self.send_oversize_refusal(host, message),
            // The entry proxy does not get this response. It notices the lost link itself, or its
            // request reaches the deadline.
            (Err(SendError::Unreachable), None) | (Ok(()), _) => {}
        }
    }

    /// Sends a refusal in place of a response that exceeds the size of a frame, so that the entry
    /// proxy does not wait for it.
    fn send_oversize_refusal(&mut self, host: HostId, message: TrafficMessage) {
        if let TrafficMessage::Outcome { database, entry_thread, request, .. } = message {
            let outcome = Outcome::Refused { code: ResultCode::LargeAnswerLost };
            let message = TrafficMessage::Outcome { database, entry_thread, request, outcome };
            // The entry proxy notices a lost link itself, or its request reaches the deadline.
            let _ = self.outgoing.send(&mut self.io, host, &message, None);
        }
    }

    /// Routes a message of another proxy or of this machine to the traffic thread that it is for.
    pub(super) fn route_message(&mut self, from: HostId, message: TrafficMessage) {
        let thread = self.router.thread_for(&message);
        if self.router.is_own(thread) {
            self.machine.push(Event::MessageReceived { from, message });
        } else {
            self.router.send_to_thread(thread, TrafficThreadMessage::Message { from, message });
        }
    }

    fn open(&mut self, connection: ConnectionKey, instance: InstanceId) {
        let configuration = Arc::clone(&self.view.configuration);
        let (io, machine) = (&mut self.io, &mut self.machine);
        match (configuration.database(instance.database), configuration.instance(instance)) {
            (Some(database), Some(found)) => {
                self.backends.open(io, machine, connection, found.address, &database.name);
            }
            _ => {
                let reason = ConnectionLoss::ConnectFailed;
                machine.push(Event::ConnectionLost { connection, reason });
            }
        }
    }

    fn probe(&mut self, instance: InstanceId, probe_number: u64, deadline_us: u64) {
        let configuration = Arc::clone(&self.view.configuration);
        let machine = &mut self.machine;
        let tag = (instance, probe_number);
        let Some(target) = MonitorTarget::find(&configuration, instance) else {
            return super::push_probe_result(machine, tag, Err(super::NOT_CONFIGURED));
        };
        let call = InstanceCall { tag, operation: InstanceOperation::Status, deadline_us };
        self.monitors.call(&mut self.io, target, call, |tag, result| {
            super::push_probe_result(machine, tag, result);
        });
    }

    pub(super) fn handle_message(&mut self, message: TrafficThreadMessage) {
        match message {
            TrafficThreadMessage::View(view) => self.apply_view(view),
            TrafficThreadMessage::Message { from, message } => {
                self.machine.push(Event::MessageReceived { from, message });
            }
            TrafficThreadMessage::LinkLost { host } => self.machine.push(Event::LinkLost { host }),
            TrafficThreadMessage::Cancel(cancel) => self.callers.cancel(&mut self.machine, &cancel),
            TrafficThreadMessage::Statistics(response_sender) => {
                let machine = self.machine.machine();
                let (gauges, counters) = (machine.gauges(), machine.counters().to_vec());
                let thread = self.config.thread;
                let configuration = Arc::clone(&self.view.configuration);
                // The admin server may have stopped waiting.
                let _ = response_sender.try_send(Statistics {
                    thread,
                    configuration,
                    gauges,
                    counters,
                });
            }
            TrafficThreadMessage::Stop => self.stopped = true,
        }
    }

    fn apply_view(&mut self, view: Arc<View>) {
        self.callers.set_configuration(&view.configuration);
        self.view = Arc::clone(&view);
        self.machine.push(Event::ViewChanged(view));
        if self.view.draining {
            self.close_listener();
        }
    }
}
