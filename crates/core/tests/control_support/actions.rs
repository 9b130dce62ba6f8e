//! Performs the actions of a `Control` on the fakes.

use std::sync::Arc;

use flamingorock_core::control::{Action, Event, InstanceOperation, StoreOperation, StoreResponse};
use flamingorock_core::traffic::ProbeFailure;
use flamingorock_core::{HostId, InstanceId, View};

use super::{MS, Simulation, parse};

impl Simulation {
    pub(crate) fn perform(&mut self, host: HostId, action: Action) {
        let latency_us = 400 + self.random_below(200);
        match action {
            Action::SendHeartbeat { to, heartbeat } => {
                self.last_heartbeat.insert(host, (*heartbeat).clone());
                for receiver in to {
                    let event = Event::HeartbeatReceived((*heartbeat).clone());
                    self.deliver(latency_us, host, receiver, event);
                }
            }
            Action::SendMessage { to, message } => {
                self.deliver(latency_us, host, to, Event::MessageReceived { from: host, message });
            }
            Action::CallStore { call, operation, deadline_us } => {
                let now_us = self.now_us;
                let is_watch = matches!(operation, StoreOperation::WatchConfiguration { .. });
                let (delay_us, response) = match self.store.call(now_us, host, call, operation) {
                    Some(response) => (2 * MS, response),
                    None if is_watch && !self.store.down => {
                        (deadline_us - now_us, self.store.configuration())
                    }
                    None => (deadline_us - now_us, StoreResponse::Failed),
                };
                self.queue_in(delay_us, host, Event::StoreCallCompleted { call, response });
            }
            Action::CallInstance { call, instance, operation, .. } => {
                self.call_group(host, call, instance, operation);
            }
            Action::ParseConfiguration { version, text } => {
                let result = parse(version, &text);
                self.queue_in(100, host, Event::ConfigurationParsed { version, result });
            }
            Action::Publish(view) => self.publish(host, view),
            Action::DrainFinished => {
                self.node(host).drained = true;
                self.log_line(host, "drain finished");
            }
            Action::Log(change) => self.log_line(host, &change.to_string()),
        }
    }

    fn deliver(&mut self, latency_us: u64, from: HostId, to: HostId, event: Event) {
        if !self.partitions.contains(&(from, to)) && !self.partitions.contains(&(to, from)) {
            self.queue_in(latency_us, to, event);
        }
    }

    fn call_group(
        &mut self,
        host: HostId,
        call: flamingorock_core::InstanceCallKey,
        instance: InstanceId,
        operation: InstanceOperation,
    ) {
        if self.logs_instance_calls && operation != InstanceOperation::Status {
            self.log_line(host, &format!("instance {instance}: {operation:?}"));
        }
        let now_us = self.now_us;
        let group = self.groups.get_mut(&instance.database).unwrap();
        let index = usize::from(instance.index);
        let state = &mut group.instances[index];
        if !state.up {
            let result = Err(ProbeFailure::ConnectionLost);
            return self.queue_in(300, host, Event::InstanceCallCompleted { call, result });
        }
        if state.paused
            || state.partitioned_from_proxies
            || self.partitioned_from_instances == Some(host)
        {
            return;
        }
        let is_lost =
            matches!(operation, InstanceOperation::Promote(_)) && state.lost_promote_responses > 0;
        state.lost_promote_responses -= u32::from(is_lost);
        let delay_us = state.response_delay_us;
        let result = Ok(group.call(index, operation, now_us));
        if !is_lost {
            self.queue_in(delay_us, host, Event::InstanceCallCompleted { call, result });
        }
    }

    fn publish(&mut self, host: HostId, view: Arc<View>) {
        let node = self.node(host);
        assert!(view.sequence > node.view.sequence, "views are published in order");
        node.view = Arc::clone(&view);
        if node.reports_quiescence {
            for served in view.served.iter().filter(|served| !served.admits) {
                let epoch = served.term.epoch();
                let event = Event::Quiescent { database: served.database, epoch };
                self.queue_in(20 * MS, host, event);
            }
        }
    }
}
