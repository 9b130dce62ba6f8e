//! Performs the actions of the control machine.

use std::sync::Arc;
use std::time::Instant;

use flamingorock_core::control::{Action, Event, InstanceOperation, StoreOperation, StoreResponse};
use flamingorock_core::traffic::ProbeFailure;
use flamingorock_core::{InstanceCallKey, InstanceId, StoreCallKey, View};

use super::{ControlThread, StoreJob};
use crate::monitors::{InstanceCall, MonitorTarget};

impl ControlThread {
    pub(super) fn perform(&mut self, action: Action) {
        match action {
            Action::SendHeartbeat { to, heartbeat } => {
                self.heartbeats.send(&to, &heartbeat, &self.io.metrics);
            }
            Action::SendMessage { to, message } => {
                if self.links.send(&mut self.io, to, &message, None).is_err() {
                    tracing::debug!(host = %to, "control message not sent");
                }
            }
            Action::CallStore { call, operation, deadline_us } => {
                self.call_store(call, operation, deadline_us);
            }
            Action::CallInstance { call, instance, operation, deadline_us } => {
                self.call_group(call, instance, operation, deadline_us);
            }
            Action::ParseConfiguration { version, text } => {
                self.parse_configuration(version, &text)
            }
            Action::Publish(view) => self.publish(view),
            Action::DrainFinished => self.drain.record_control_finished(),
            Action::Log(change) => tracing::info!("{change}"),
        }
    }

    fn call_store(&mut self, call: StoreCallKey, operation: StoreOperation, deadline_us: u64) {
        self.io.metrics.store_calls.inc();
        let database = match &operation {
            StoreOperation::GetOwner { database }
            | StoreOperation::CompareAndSwapOwner { database, .. } => Some(*database),
            StoreOperation::GetConfiguration | StoreOperation::WatchConfiguration { .. } => None,
        };
        let found = database.and_then(|database| self.configuration.database(database));
        let database_name = found.map(|database| database.name.clone());
        let deadline = Instant::now() + self.io.clock.until(deadline_us);
        if self.store.submit(StoreJob { call, operation, database_name, deadline }).is_err() {
            // The queue is full because the service is slow. The machine retries after its backoff.
            self.machine.push(Event::StoreCallCompleted { call, response: StoreResponse::Failed });
        }
    }

    fn call_group(
        &mut self,
        call: InstanceCallKey,
        instance: InstanceId,
        operation: InstanceOperation,
        deadline_us: u64,
    ) {
        let configuration = Arc::clone(&self.configuration);
        let machine = &mut self.machine;
        let Some(target) = MonitorTarget::find(&configuration, instance) else {
            let result = Err(ProbeFailure::ConnectionLost);
            return machine.push(Event::InstanceCallCompleted { call, result });
        };
        let call = InstanceCall { tag: call, operation, deadline_us };
        self.monitors.call(&mut self.io, target, call, |call, result| {
            machine.push(Event::InstanceCallCompleted { call, result });
        });
    }

    fn parse_configuration(&mut self, version: u64, text: &str) {
        let result = flamingorock_config::parse_services(text, "configuration", version)
            .map(Arc::new)
            .map_err(|errors| errors.to_string());
        if let Ok(configuration) = &result
            && configuration.version > self.configuration.version
        {
            self.configuration = Arc::clone(configuration);
        }
        self.machine.push(Event::ConfigurationParsed { version, result });
    }

    fn publish(&mut self, view: Arc<View>) {
        let version = view.configuration.version;
        self.io.metrics.views_published.inc();
        self.io.metrics.configuration_version.set(i64::try_from(version).unwrap_or(i64::MAX));
        self.publisher.publish(&view);
        self.view = view;
    }
}
