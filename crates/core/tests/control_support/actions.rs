//! What the fakes do with the actions of a machine.

use std::sync::Arc;

use flamingorock_core::control::{Action, Event, InstanceOperation, StoreOperation, StoreResponse};
use flamingorock_core::traffic::ProbeFailure;
use flamingorock_core::{HostId, InstanceId, View};

use super::{MS, Simulation, parse};

impl Simulation {
    pub(crate) fn carry_out(&mut self, host: HostId, action: Action) {
        let latency_us = 400 + self.random_below(200);
        match action {
            Action::SendHeartbeat { to, heartbeat } => {
                self.last_heartbeat.insert(host, (*heartbeat).clone());
                for receiver in to {
                    let event = Event::HeartbeatReceived((*heartbeat).clone());
                    self.pass(latency_us, host, receiver, event);
                }
            }
            Action::SendMessage { to, message } => {
                self.pass(latency_us, host, to, Event::MessageReceived { from: host, message });
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
                self.note(host, "drain finished");
            }
            Action::Log(change) => self.note(host, &change.to_string()),
        }
    }

    fn pass(&mut self, latency_us: u64, from: HostId, to: HostId, event: Event) {
        if !self.cuts.contains(&(from, to)) && !self.cuts.contains(&(to, from)) {
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
        if self.logs_calls && operation != InstanceOperation::Status {
            self.note(host, &format!("instance {instance}: {operation:?}"));
        }
        let now_us = self.now_us;
        let group = self.groups.get_mut(&instance.database).unwrap();
        let index = usize::from(instance.index);
        let state = &mut group.instances[index];
        if !state.up {
            let result = Err(ProbeFailure::ConnectionLost);
            return self.queue_in(300, host, Event::InstanceCallCompleted { call, result });
        }
        if state.paused || state.cut_from_proxies || self.cut_from_instances == Some(host) {
            return;
        }
        let is_lost =
            matches!(operation, InstanceOperation::Promote(_)) && state.lose_promote_answers > 0;
        state.lose_promote_answers -= u32::from(is_lost);
        let delay_us = state.answer_delay_us;
        let result = Ok(group.call(index, operation, now_us));
        if !is_lost {
            self.queue_in(delay_us, host, Event::InstanceCallCompleted { call, result });
        }
    }

    fn publish(&mut self, host: HostId, view: Arc<View>) {
        let node = self.node(host);
        assert!(view.sequence > node.view.sequence, "views are published in order");
        node.view = Arc::clone(&view);
        if node.goes_quiescent {
            for served in view.served.iter().filter(|served| !served.admits) {
                let epoch = served.term.epoch();
                let event = Event::Quiescent { database: served.database, epoch };
                self.queue_in(20 * MS, host, event);
            }
        }
    }
}
