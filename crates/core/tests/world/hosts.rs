//! Simulated proxy hosts: they tick the control and traffic state machines and perform the actions that
//! these emit.

use std::collections::BTreeMap;
use std::sync::Arc;

use flamingorock_core::control::{self, Control, ControlConfig};
use flamingorock_core::traffic::{self, Traffic, TrafficConfig};
use flamingorock_core::{HostId, ResultCode, View};

use super::{
    CALLER_LATENCY_US, CallOrigin, Host, LINK_TIMEOUT_US, NETWORK_LATENCY_US, STORE_LATENCY_US,
    ScheduledEvent, Settings, World, callers::Reply, connection_id, settings::InjectedBug,
};

/// Creates a host in the state right after its process has started.
pub fn new_host(settings: &Settings, index: usize, incarnation: u64) -> Host {
    let id = HostId(u16::try_from(index + 1).expect("few hosts"));
    let all = (1..=settings.hosts as u16).map(HostId);
    let config = ControlConfig::new(id)
        .peers(all.filter(|peer| *peer != id).collect())
        .incarnation(incarnation)
        .seed(settings.seed * 100 + index as u64);
    let data_centres = ["port-louis", "curepipe", "mahebourg", "grand-baie"];
    Host {
        id,
        control: Control::new(config),
        traffic: Traffic::new(TrafficConfig::new(id, data_centres[index % data_centres.len()])),
        alive: true,
        incarnation,
        paused_until_us: 0,
        partitioned_from_peers: false,
        wake_us: None,
        callers: BTreeMap::new(),
        view: Arc::new(View::default()),
        drained: false,
    }
}

impl World {
    /// Ticks a host whose timer has expired, or defers this to the end of its pause.
    pub(super) fn wake(&mut self, host: usize) {
        let now_us = self.now_us;
        let row = &mut self.hosts[host];
        if row.wake_us.is_some_and(|wake_us| wake_us > now_us) {
            return;
        }
        row.wake_us = None;
        if !row.alive {
            return;
        }
        if row.paused_until_us > now_us {
            row.wake_us = Some(row.paused_until_us);
            let at_us = row.paused_until_us;
            self.schedule(at_us, ScheduledEvent::Wake { host });
            return;
        }
        self.run_host(host);
    }

    /// Ticks both state machines of a host and performs their actions.
    pub(super) fn run_host(&mut self, host: usize) {
        let now_us = self.now_us;
        self.hosts[host].control.tick(now_us);
        let actions: Vec<_> = self.hosts[host].control.drain_actions().collect();
        for action in actions {
            self.perform_control_action(host, action);
        }
        self.hosts[host].traffic.tick(now_us);
        let actions: Vec<_> = self.hosts[host].traffic.drain_actions().collect();
        for action in actions {
            self.perform_traffic_action(host, action);
        }
        self.schedule_wake(host);
    }

    fn schedule_wake(&mut self, host: usize) {
        let row = &mut self.hosts[host];
        let due = [row.control.next_deadline_us(), row.traffic.next_deadline_us()];
        let Some(due_us) = due.into_iter().flatten().min() else { return };
        // A deadline that is never after the present would tick the host in an endless loop.
        let due_us = due_us.max(self.now_us + 1);
        if row.wake_us.is_none_or(|wake_us| due_us < wake_us) {
            row.wake_us = Some(due_us);
            self.schedule(due_us, ScheduledEvent::Wake { host });
        }
    }

    fn perform_control_action(&mut self, host: usize, action: control::Action) {
        let (id, incarnation) = (self.hosts[host].id, self.hosts[host].incarnation);
        match action {
            control::Action::SendHeartbeat { to, heartbeat } => {
                for receiver in to {
                    let event = control::Event::HeartbeatReceived((*heartbeat).clone());
                    self.send_to_peer_control(host, receiver, event);
                }
            }
            control::Action::SendMessage { to, message } => {
                let event = control::Event::MessageReceived { from: id, message };
                self.send_to_peer_control(host, to, event);
            }
            control::Action::CallStore { call, operation, deadline_us } => {
                let at_us = self.now_us + STORE_LATENCY_US;
                let store =
                    ScheduledEvent::StoreCall { host, incarnation, call, operation, deadline_us };
                self.schedule(at_us, store);
            }
            control::Action::CallInstance { call, instance, operation, deadline_us } => {
                let origin = CallOrigin::Control(call);
                self.call_instance(host, origin, instance, operation, deadline_us);
            }
            control::Action::ParseConfiguration { version, .. } => {
                let configuration = self.configurations.get(&version).cloned();
                let result = configuration.ok_or_else(|| "no such document".to_owned());
                let event = control::Event::ConfigurationParsed { version, result };
                self.send_to_control(host, incarnation, 0, event);
            }
            control::Action::Publish(view) => {
                if view.draining {
                    self.deliver_arrived_requests(host);
                }
                self.hosts[host].view = Arc::clone(&view);
                self.hosts[host].traffic.push(traffic::Event::ViewChanged(view));
            }
            control::Action::DrainFinished => self.hosts[host].drained = true,
            control::Action::Log(change) => self.log.push((self.now_us, id, change)),
        }
    }

    /// Delivers the requests that have already arrived at a host. The I/O layer also reads its sockets
    /// before it passes on a draining view, so that the shutdown does not lose them.
    fn deliver_arrived_requests(&mut self, host: usize) {
        let now_us = self.now_us;
        let is_request = |scheduled: &ScheduledEvent| {
            matches!(scheduled, ScheduledEvent::Traffic { host: to, event, .. }
                if *to == host && matches!(event, traffic::Event::RequestReceived { .. }))
        };
        let due = self.queue.range(..=(now_us, u64::MAX));
        let keys: Vec<_> = due.filter(|(_, one)| is_request(one)).map(|(key, _)| *key).collect();
        for key in keys {
            if let Some(ScheduledEvent::Traffic { event, .. }) = self.queue.remove(&key) {
                self.hosts[host].traffic.push(event);
            }
        }
    }

    /// Sends an event to the control state machine of another host, unless the two are partitioned.
    fn send_to_peer_control(&mut self, from: usize, to: HostId, event: control::Event) {
        let Some(receiver) = self.host_index(to) else { return };
        if !self.hosts[receiver].alive || self.is_partitioned(from, receiver) {
            return;
        }
        let incarnation = self.hosts[receiver].incarnation;
        self.send_to_control(receiver, incarnation, NETWORK_LATENCY_US, event);
    }

    pub(super) fn is_partitioned(&self, a: usize, b: usize) -> bool {
        a != b && (self.hosts[a].partitioned_from_peers || self.hosts[b].partitioned_from_peers)
    }

    fn perform_traffic_action(&mut self, host: usize, action: traffic::Action) {
        let incarnation = self.hosts[host].incarnation;
        let at_us = self.now_us + NETWORK_LATENCY_US;
        match action {
            traffic::Action::Deliver { caller, response, status } => {
                self.reply(host, caller, Reply::Response { response, status });
            }
            traffic::Action::Refuse { caller, code, status } => {
                self.reply(host, caller, Reply::Refused { code, status });
            }
            traffic::Action::CloseCaller { caller, .. } => {
                let at_us = self.now_us;
                self.reply(host, caller, Reply::Closed { at_us });
                self.hosts[host].callers.remove(&caller);
                self.hosts[host].traffic.push(traffic::Event::CallerClosed { caller });
            }
            traffic::Action::Send { host: to, request, message } => {
                self.send_to_peer_traffic(host, to, request, message);
            }
            traffic::Action::OpenConnection { connection, instance } => {
                let id = connection_id(host, incarnation, connection);
                self.connections.insert(id, instance);
                self.schedule(at_us, ScheduledEvent::Connect { connection: id, host, instance });
            }
            traffic::Action::Execute { connection, work, payload, .. } => {
                let id = connection_id(host, incarnation, connection);
                if let Some(&instance) = self.connections.get(&id) {
                    self.schedule(at_us, ScheduledEvent::Statement { id, instance, work, payload });
                }
            }
            traffic::Action::ResetConnection { connection } => {
                let id = connection_id(host, incarnation, connection);
                if let Some(&instance) = self.connections.get(&id) {
                    self.schedule(at_us, ScheduledEvent::Reset { id, instance });
                }
            }
            traffic::Action::CancelConnection { connection } => {
                let id = connection_id(host, incarnation, connection);
                if let Some(&instance) = self.connections.get(&id) {
                    self.schedule(at_us, ScheduledEvent::Cancel { id, instance });
                }
            }
            traffic::Action::CloseConnection { connection } => {
                let id = connection_id(host, incarnation, connection);
                if let Some(&instance) = self.connections.get(&id) {
                    self.schedule(at_us, ScheduledEvent::Close { id, instance });
                }
            }
            traffic::Action::Probe { instance, probe_number, deadline_us } => {
                let origin = CallOrigin::Probe(probe_number);
                self.call_instance(
                    host,
                    origin,
                    instance,
                    control::InstanceOperation::Status,
                    deadline_us,
                );
            }
            traffic::Action::ReportQuiescent { database, epoch } => {
                let event = control::Event::Quiescent { database, epoch };
                self.send_to_control(host, incarnation, 0, event);
            }
            traffic::Action::ReportSuperseded { database, epoch } => {
                let event = control::Event::Superseded { database, epoch };
                self.send_to_control(host, incarnation, 0, event);
            }
        }
    }

    fn send_to_peer_traffic(
        &mut self,
        host: usize,
        to: HostId,
        request: Option<flamingorock_core::RequestKey>,
        message: flamingorock_core::message::TrafficMessage,
    ) {
        let (id, incarnation) = (self.hosts[host].id, self.hosts[host].incarnation);
        let Some(receiver) = self.host_index(to) else { return };
        if !self.hosts[receiver].alive {
            if let Some(request) = request {
                let event = traffic::Event::SendFailed { host: to, request };
                self.send_to_traffic(host, incarnation, NETWORK_LATENCY_US, event);
            }
            return;
        }
        let remote = self.hosts[receiver].incarnation;
        if self.is_partitioned(host, receiver) {
            let event = traffic::Event::LinkLost { host: to };
            self.send_to_traffic(host, incarnation, LINK_TIMEOUT_US, event);
            let event = traffic::Event::LinkLost { host: id };
            self.send_to_traffic(receiver, remote, LINK_TIMEOUT_US, event);
            return;
        }
        let event = traffic::Event::MessageReceived { from: id, message };
        self.send_to_traffic(receiver, remote, NETWORK_LATENCY_US, event);
        let repeats = self.settings.injected_bug == Some(InjectedBug::ResendDeliveredRequests);
        if let Some(request) = request.filter(|_| repeats && self.random.chance(2)) {
            let event = traffic::Event::SendFailed { host: to, request };
            self.send_to_traffic(host, incarnation, NETWORK_LATENCY_US, event);
        }
    }

    fn call_instance(
        &mut self,
        host: usize,
        origin: CallOrigin,
        instance: flamingorock_core::InstanceId,
        operation: control::InstanceOperation,
        deadline_us: u64,
    ) {
        let incarnation = self.hosts[host].incarnation;
        let at_us = self.now_us + NETWORK_LATENCY_US;
        let call = ScheduledEvent::InstanceCall {
            host,
            incarnation,
            origin,
            instance,
            operation,
            deadline_us,
        };
        self.schedule(at_us, call);
    }

    /// Corrupts a reply according to the injected bug, to prove that a check detects it.
    fn corrupt_reply(&mut self, caller: u32, reply: Reply) -> (u32, Reply) {
        let Reply::Response { status, .. } = reply else { return (caller, reply) };
        match self.settings.injected_bug {
            Some(InjectedBug::MisrouteReplies) if caller > 0 && self.random.chance(2) => {
                (caller - 1, reply)
            }
            Some(InjectedBug::RefuseExecutedRequests) if self.random.chance(2) => {
                (caller, Reply::Refused { code: ResultCode::Overloaded, status })
            }
            _ => (caller, reply),
        }
    }

    fn reply(&mut self, host: usize, key: flamingorock_core::CallerKey, reply: Reply) {
        let Some(&caller) = self.hosts[host].callers.get(&key) else { return };
        let (caller, reply) = self.corrupt_reply(caller, reply);
        let connection = self.callers[caller as usize].connection;
        let at_us = self.now_us + CALLER_LATENCY_US;
        self.schedule(at_us, ScheduledEvent::Reply { caller, connection, reply });
    }
}
