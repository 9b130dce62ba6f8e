//! Messages to the control thread.

use flamingorock_core::control::{Event, StoreAnswer};

use super::{ControlThread, Exit};
use crate::admin::AdminRequest;
use crate::mail::ControlMail;

impl ControlThread {
    pub(super) fn take_one(&mut self, mail: ControlMail) {
        match mail {
            ControlMail::Message { from, message } => {
                self.machine.push(Event::MessageReceived { from, message });
            }
            ControlMail::StoreAnswered { call, answer } => {
                if answer == StoreAnswer::Failed {
                    self.io.metrics.store_failures.inc();
                }
                self.machine.push(Event::StoreAnswered { call, answer });
            }
            ControlMail::HostListRead(hosts) => self.machine.push(Event::HostListRead(hosts)),
            ControlMail::Quiescent { database, epoch } => {
                self.machine.push(Event::Quiescent { database, epoch });
            }
            ControlMail::Superseded { database, epoch } => {
                self.machine.push(Event::Superseded { database, epoch });
            }
            ControlMail::TrafficIdle { thread } => self.drain.traffic_idle(thread),
            ControlMail::ThreadEnded { thread } => self.exit = Some(Exit::ThreadEnded(thread)),
            ControlMail::Admin(request) => self.take_admin(request),
        }
    }

    /// Answers an operator. An operator who has stopped waiting misses the answer.
    fn take_admin(&mut self, request: AdminRequest) {
        match request {
            AdminRequest::Ready(answer) => {
                let ready = self.view.configuration.version > 0 && !self.drain.is_requested();
                let _ = answer.try_send(ready);
            }
            AdminRequest::Status(answer) => {
                let status = self.machine.machine().status();
                let json = serde_json::to_string(&status).unwrap_or_else(|error| error.to_string());
                let _ = answer.try_send(json);
            }
            AdminRequest::Drain => {
                if self.request_drain() {
                    tracing::info!("shutdown requested on the admin port");
                }
            }
            AdminRequest::Promote { database, instance, answer } => {
                let _ = answer.try_send(self.request_promotion(&database, &instance));
            }
        }
    }

    fn request_promotion(&mut self, database: &str, instance: &str) -> Result<(), String> {
        let found = self.configuration.database_named(database);
        let found = found.ok_or_else(|| format!("no database \"{database}\""))?;
        let index = found.instances.iter().position(|candidate| candidate.name == instance);
        let index = index.and_then(|index| u8::try_from(index).ok());
        let instance_index =
            index.ok_or_else(|| format!("no instance \"{instance}\" in \"{database}\""))?;
        self.machine.push(Event::PromotionRequested { database: found.id, instance_index });
        Ok(())
    }
}
