//! Handles messages from other threads to the control thread.

use flamingorock_core::control::{Event, StoreResponse};

use super::{ControlThread, ExitReason};
use crate::admin::{AdminRequest, PromotionRefusal};
use crate::thread_messages::ControlThreadMessage;

impl ControlThread {
    pub(super) fn handle_message(&mut self, message: ControlThreadMessage) {
        match message {
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
            ControlThreadMessage::TrafficIdle { thread } => self.drain.record_traffic_idle(thread),
            ControlThreadMessage::ThreadEnded { thread } => {
                self.exit = Some(ExitReason::ThreadEnded(thread))
            }
            ControlThreadMessage::Admin(request) => self.handle_admin_request(request),
        }
    }

    /// Handles a request to the admin port. Sending the response fails if the admin server has
    /// stopped waiting, which is ignored.
    fn handle_admin_request(&mut self, request: AdminRequest) {
        match request {
            AdminRequest::Ready(response_sender) => {
                let ready = self.view.configuration.version > 0 && !self.drain.is_requested();
                let _ = response_sender.try_send(ready);
            }
            AdminRequest::Status(response_sender) => {
                let _ = response_sender.try_send(self.status());
            }
            AdminRequest::Counters(response_sender) => {
                let _ = response_sender.try_send(self.machine.machine().counters());
            }
            AdminRequest::Drain => {
                if self.request_drain() {
                    tracing::info!(
                        target: "flamingorockd::control::take_mail",
                        "shutdown requested on the admin port"
                    );
                }
            }
            AdminRequest::Promote { database, instance, response_sender } => {
                let _ = response_sender.try_send(self.request_promotion(&database, &instance));
            }
        }
    }

    /// The machine's state and the host's name as JSON.
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
