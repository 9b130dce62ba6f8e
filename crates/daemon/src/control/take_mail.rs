//! Messages to the control thread.

use flamingorock_core::control::{Event, StoreResponse};

use super::{ControlThread, Exit};
use crate::admin::{AdminRequest, PromotionRefusal};
use crate::thread_messages::ControlThreadMessage;

impl ControlThread {
    pub(super) fn take_one(&mut self, mail: ControlThreadMessage) {
        match mail {
            ControlThreadMessage::Message { from, message } => {
                self.machine.push(Event::MessageReceived { from, message });
            }
            ControlThreadMessage::StoreCallCompleted { call, response } => {
                if response == StoreResponse::Failed {
                    self.io.metrics.store_failures.inc();
                }
                self.machine.push(Event::StoreCallCompleted { call, response });
            }
            ControlThreadMessage::HostListRead(hosts) => {
                self.machine.push(Event::HostListRead(hosts))
            }
            ControlThreadMessage::Quiescent { database, epoch } => {
                self.machine.push(Event::Quiescent { database, epoch });
            }
            ControlThreadMessage::Superseded { database, epoch } => {
                self.machine.push(Event::Superseded { database, epoch });
            }
            ControlThreadMessage::TrafficIdle { thread } => self.drain.traffic_idle(thread),
            ControlThreadMessage::ThreadEnded { thread } => {
                self.exit = Some(Exit::ThreadEnded(thread))
            }
            ControlThreadMessage::Admin(request) => self.take_admin(request),
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
                let _ = answer.try_send(self.status());
            }
            AdminRequest::Counters(answer) => {
                let _ = answer.try_send(self.machine.machine().counters());
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

    /// State of the machine and the host's name as JSON.
    fn status(&self) -> String {
        let status = serde_json::to_value(self.machine.machine().status());
        let mut status = status.unwrap_or_else(|error| error.to_string().into());
        if let Some(fields) = status.as_object_mut() {
            fields.insert("name".to_owned(), self.name.clone().into());
        }
        status.to_string()
    }

    fn request_promotion(
        &mut self,
        database: &str,
        instance: &str,
    ) -> Result<(), PromotionRefusal> {
        let found = self.configuration.database_named(database);
        let found = found.ok_or_else(|| PromotionRefusal::UnknownDatabase(database.to_owned()))?;
        let index = found.instances.iter().position(|candidate| candidate.name == instance);
        let index = index.and_then(|index| u8::try_from(index).ok());
        let instance_index =
            index.ok_or_else(|| PromotionRefusal::UnknownInstance(instance.to_owned()))?;
        self.view.served_database(found.id).ok_or(PromotionRefusal::NotOwner)?;
        self.machine.push(Event::SwitchoverRequested { database: found.id, instance_index });
        Ok(())
    }
}
