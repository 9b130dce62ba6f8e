//! Proxy hosts: the machines and what carries out their actions.

use std::collections::BTreeMap;
use std::sync::Arc;

use flamingorock_core::control::{self, Control, ControlConfig};
use flamingorock_core::traffic::{self, Traffic, TrafficConfig};
use flamingorock_core::{HostId, ResultCode, View};

use super::{
    Asker, CALLER_HOP_US, HOP_US, Happening, Host, LINK_TIMEOUT_US, STORE_US, Settings, World,
    callers::Reply, connection_id, settings::Sabotage,
};

/// Creates a host as it is after the start of its process.
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
        cut_peers: false,
        wake_us: None,
        callers: BTreeMap::new(),
        view: Arc::new(View::default()),
        drained: false,
    }
}

impl World {
    /// Handles the wake-up of a host.
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
            self.schedule(at_us, Happening::Wake { host });
            return;
        }
        self.run_host(host);
    }

    /// Ticks both machines of a host and carries out their actions.
    pub(super) fn run_host(&mut self, host: usize) {
        let now_us = self.now_us;
        self.hosts[host].control.tick(now_us);
        let actions: Vec<_> = self.hosts[host].control.drain_actions().collect();
        for action in actions {
            self.carry_out_control(host, action);
        }
        self.hosts[host].traffic.tick(now_us);
        let actions: Vec<_> = self.hosts[host].traffic.drain_actions().collect();
        for action in actions {
            self.carry_out_traffic(host, action);
        }
        self.arm_wake(host);
    }

    fn arm_wake(&mut self, host: usize) {
        let row = &mut self.hosts[host];
        let due = [row.control.next_deadline_us(), row.traffic.next_deadline_us()];
        let Some(due_us) = due.into_iter().flatten().min() else { return };
        // A machine that asks for a time in the past would be ticked without end.
        let due_us = due_us.max(self.now_us + 1);
        if row.wake_us.is_none_or(|wake_us| due_us < wake_us) {
            row.wake_us = Some(due_us);
            self.schedule(due_us, Happening::Wake { host });
        }
    }

    fn carry_out_control(&mut self, host: usize, action: control::Action) {
        let (id, incarnation) = (self.hosts[host].id, self.hosts[host].incarnation);
        match action {
            control::Action::SendHeartbeat { to, heartbeat } => {
                for receiver in to {
                    let event = control::Event::HeartbeatReceived((*heartbeat).clone());
                    self.send_control(host, receiver, event);
                }
            }
            control::Action::SendMessage { to, message } => {
                let event = control::Event::MessageReceived { from: id, message };
                self.send_control(host, to, event);
            }
            control::Action::CallStore { call, operation, deadline_us } => {
                let at_us = self.now_us + STORE_US;
                let store = Happening::Store { host, incarnation, call, operation, deadline_us };
                self.schedule(at_us, store);
            }
            control::Action::CallInstance { call, instance, operation, deadline_us } => {
                let from = Asker::Control(call);
                self.ask(host, from, instance, operation, deadline_us);
            }
            control::Action::ParseConfiguration { version, .. } => {
                let configuration = self.configurations.get(&version).cloned();
                let result = configuration.ok_or_else(|| "no such document".to_owned());
                let event = control::Event::ConfigurationParsed { version, result };
                self.send_to_control(host, incarnation, 0, event);
            }
            control::Action::Publish(view) => {
                if view.draining {
                    self.read_what_has_arrived(host);
                }
                self.hosts[host].view = Arc::clone(&view);
                self.hosts[host].traffic.push(traffic::Event::ViewChanged(view));
            }
            control::Action::DrainFinished => self.hosts[host].drained = true,
            control::Action::Log(change) => self.log.push((self.now_us, id, change)),
        }
    }

    /// Hands over the requests that wait in the sockets of a host, as the I/O layer does before it
    /// passes a draining view on.
    fn read_what_has_arrived(&mut self, host: usize) {
        let now_us = self.now_us;
        let is_request = |happening: &Happening| {
            matches!(happening, Happening::Traffic { host: to, event, .. }
                if *to == host && matches!(event, traffic::Event::RequestReceived { .. }))
        };
        let due = self.queue.range(..=(now_us, u64::MAX));
        let keys: Vec<_> = due.filter(|(_, one)| is_request(one)).map(|(key, _)| *key).collect();
        for key in keys {
            if let Some(Happening::Traffic { event, .. }) = self.queue.remove(&key) {
                self.hosts[host].traffic.push(event);
            }
        }
    }

    /// Sends an event to the control machine of another host unless the network between them is cut.
    fn send_control(&mut self, from: usize, to: HostId, event: control::Event) {
        let Some(receiver) = self.host_index(to) else { return };
        if !self.hosts[receiver].alive || self.is_cut(from, receiver) {
            return;
        }
        let incarnation = self.hosts[receiver].incarnation;
        self.send_to_control(receiver, incarnation, HOP_US, event);
    }

    pub(super) fn is_cut(&self, a: usize, b: usize) -> bool {
        a != b && (self.hosts[a].cut_peers || self.hosts[b].cut_peers)
    }

    fn carry_out_traffic(&mut self, host: usize, action: traffic::Action) {
        let incarnation = self.hosts[host].incarnation;
        let at_us = self.now_us + HOP_US;
        match action {
            traffic::Action::Deliver { caller, response, status } => {
                self.reply(host, caller, Reply::Answer { response, status });
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
                self.send_traffic(host, to, request, message);
            }
            traffic::Action::OpenConnection { connection, instance } => {
                let id = connection_id(host, incarnation, connection);
                self.connections.insert(id, instance);
                self.schedule(at_us, Happening::Connect { connection: id, host, instance });
            }
            traffic::Action::Execute { connection, work, payload, .. } => {
                let id = connection_id(host, incarnation, connection);
                if let Some(&instance) = self.connections.get(&id) {
                    self.schedule(at_us, Happening::Statement { id, instance, work, payload });
                }
            }
            traffic::Action::ResetConnection { connection } => {
                let id = connection_id(host, incarnation, connection);
                if let Some(&instance) = self.connections.get(&id) {
                    self.schedule(at_us, Happening::Reset { id, instance });
                }
            }
            traffic::Action::CancelConnection { connection } => {
                let id = connection_id(host, incarnation, connection);
                if let Some(&instance) = self.connections.get(&id) {
                    self.schedule(at_us, Happening::Cancel { id, instance });
                }
            }
            traffic::Action::CloseConnection { connection } => {
                let id = connection_id(host, incarnation, connection);
                if let Some(&instance) = self.connections.get(&id) {
                    self.schedule(at_us, Happening::Close { id, instance });
                }
            }
            traffic::Action::Probe { instance, probe_number, deadline_us } => {
                let from = Asker::Probe(probe_number);
                self.ask(host, from, instance, control::InstanceOperation::Status, deadline_us);
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

    fn send_traffic(
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
                self.send_to_traffic(host, incarnation, HOP_US, event);
            }
            return;
        }
        let remote = self.hosts[receiver].incarnation;
        if self.is_cut(host, receiver) {
            let event = traffic::Event::LinkLost { host: to };
            self.send_to_traffic(host, incarnation, LINK_TIMEOUT_US, event);
            let event = traffic::Event::LinkLost { host: id };
            self.send_to_traffic(receiver, remote, LINK_TIMEOUT_US, event);
            return;
        }
        let event = traffic::Event::MessageReceived { from: id, message };
        self.send_to_traffic(receiver, remote, HOP_US, event);
        let repeats = self.settings.sabotage == Some(Sabotage::RepeatRequests);
        if let Some(request) = request.filter(|_| repeats && self.random.percent(2)) {
            let event = traffic::Event::SendFailed { host: to, request };
            self.send_to_traffic(host, incarnation, HOP_US, event);
        }
    }

    fn ask(
        &mut self,
        host: usize,
        from: Asker,
        instance: flamingorock_core::InstanceId,
        operation: control::InstanceOperation,
        deadline_us: u64,
    ) {
        let incarnation = self.hosts[host].incarnation;
        let at_us = self.now_us + HOP_US;
        let call =
            Happening::GroupCall { host, incarnation, from, instance, operation, deadline_us };
        self.schedule(at_us, call);
    }

    /// Changes a reply if the run is to show that a check catches a wrong one.
    fn falsify_reply(&mut self, caller: u32, reply: Reply) -> (u32, Reply) {
        let Reply::Answer { status, .. } = reply else { return (caller, reply) };
        match self.settings.sabotage {
            Some(Sabotage::CrossAnswers) if caller > 0 && self.random.percent(2) => {
                (caller - 1, reply)
            }
            Some(Sabotage::RefuseAfterRun) if self.random.percent(2) => {
                (caller, Reply::Refused { code: ResultCode::Overloaded, status })
            }
            _ => (caller, reply),
        }
    }

    fn reply(&mut self, host: usize, key: flamingorock_core::CallerKey, reply: Reply) {
        let Some(&caller) = self.hosts[host].callers.get(&key) else { return };
        let (caller, reply) = self.falsify_reply(caller, reply);
        let connection = self.callers[caller as usize].connection;
        let at_us = self.now_us + CALLER_HOP_US;
        self.schedule(at_us, Happening::Answer { caller, connection, reply });
    }
}
