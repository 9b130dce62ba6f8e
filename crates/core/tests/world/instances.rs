//! What happens at the fake instances.

use bytes::Bytes;
use flamingorock_core::control::{self, InstanceOperation};
use flamingorock_core::traffic::{self, ConnectionLoss, ProbeFailure};
use flamingorock_core::{InstanceId, InstanceReport, Term, TransactionStatus, WorkItemKey};

use super::instance::{ConnectionId, Effect, Entry, Session};
use super::settings::Sabotage;
use super::{Asker, CONNECT_US, HOP_US, Happening, World};

/// Interval of replication keepalives.
const KEEPALIVE_US: u64 = 100_000;
/// Time after which a connection attempt without an answer fails.
const CONNECT_TIMEOUT_US: u64 = 1_000_000;

impl World {
    pub(super) fn happen_at_instance(&mut self, happening: Happening) {
        if let Some(resume_us) = self.paused_until(&happening) {
            self.schedule(resume_us, happening);
            return;
        }
        match happening {
            Happening::Connect { connection, host, instance } => {
                self.connect(connection, host, instance);
            }
            Happening::Statement { id, instance, work, payload } => {
                self.start_statement(id, instance, work, payload);
            }
            Happening::StatementEnd { id, instance, work, payload, run } => {
                self.end_statement(id, instance, work, &payload, run);
            }
            Happening::Reset { id, instance } => self.reset(id, instance),
            Happening::Cancel { id, instance } => self.cancel(id, instance),
            Happening::Close { id, instance } => self.close(id, instance),
            Happening::GroupCall { host, incarnation, from, instance, operation, deadline_us } => {
                self.group_call((host, incarnation, from), instance, operation, deadline_us);
            }
            Happening::Replicate { instance, from, term, length } => {
                self.replicate(instance, from, term, length);
            }
            Happening::Keepalive { instance } => self.keepalive(instance),
            Happening::Store { host, incarnation, call, operation, deadline_us } => {
                self.call_store((host, incarnation, call), operation, deadline_us);
            }
            _ => {}
        }
    }

    /// End of the pause of the instance that a happening concerns, if it is paused. Group calls are
    /// put off too; their deadline is reported meanwhile.
    fn paused_until(&mut self, happening: &Happening) -> Option<u64> {
        let (Happening::Statement { instance, .. }
        | Happening::StatementEnd { instance, .. }
        | Happening::Reset { instance, .. }
        | Happening::Cancel { instance, .. }
        | Happening::Close { instance, .. }
        | Happening::Keepalive { instance }
        | Happening::Replicate { instance, .. }) = happening
        else {
            return None;
        };
        let now_us = self.now_us;
        Some(self.instance(*instance).paused_until_us).filter(|until_us| *until_us > now_us)
    }

    fn connect(&mut self, id: ConnectionId, host: usize, instance: InstanceId) {
        let limit = usize::from(self.settings.connections - 2);
        let now_us = self.now_us;
        let row = self.instance(instance);
        let key = id.1;
        let incarnation = (id.0 / 1_000) as u64;
        let unreachable = row.cut_proxies || row.paused_until_us > now_us;
        let (after_us, event) = if unreachable || !row.up {
            let reason = ConnectionLoss::ConnectFailed;
            let after_us = if unreachable { CONNECT_TIMEOUT_US } else { HOP_US };
            (after_us, traffic::Event::ConnectionLost { connection: key, reason })
        } else {
            row.connections.insert(id, Session::default());
            let of_host = row.connections.keys().filter(|other| other.0 == id.0).count();
            if of_host > limit {
                let text = format!("{now_us}: {of_host} connections to {instance}");
                self.history.violations.push(text);
            }
            (CONNECT_US, traffic::Event::ConnectionOpened { connection: key })
        };
        self.send_to_traffic(host, incarnation, after_us, event);
    }

    fn start_statement(
        &mut self,
        id: ConnectionId,
        instance: InstanceId,
        work: WorkItemKey,
        payload: Bytes,
    ) {
        self.statements += 1;
        let (now_us, run, slots) = (self.now_us, self.statements, self.settings.slots);
        let mean_us = self.instance(instance).service_time_us;
        let service_us = self.random.exponential(mean_us).max(100);
        let row = self.instance(instance);
        if !row.up || row.cut_proxies {
            return;
        }
        let Some(session) = row.connections.get_mut(&id) else { return };
        session.running = Some(run);
        row.running += 1;
        if row.running > slots {
            let text = format!("{now_us}: {} statements run at {instance}", row.running);
            self.history.violations.push(text);
        }
        let end = Happening::StatementEnd { id, instance, work, payload, run };
        self.schedule(now_us + service_us, end);
    }

    fn end_statement(
        &mut self,
        id: ConnectionId,
        instance: InstanceId,
        work: WorkItemKey,
        payload: &Bytes,
        run: u64,
    ) {
        let row = self.instance(instance);
        let Some(mut session) = row.connections.remove(&id) else { return };
        if session.running != Some(run) || !row.up {
            row.connections.insert(id, session);
            return;
        }
        session.running = None;
        let closed = session.closed;
        row.running -= u16::from(!closed);
        let length = row.log.len();
        let text = String::from_utf8_lossy(payload).into_owned();
        let (answer, failed) = self.execute(instance, &mut session, &text);
        let status = match (&session.transaction, session.failed) {
            (None, _) => TransactionStatus::Idle,
            (Some(_), false) => TransactionStatus::Open,
            (Some(_), true) => TransactionStatus::Failed,
        };
        let row = self.instance(instance);
        if !closed {
            row.connections.insert(id, session);
        }
        let (cut, grown) = (row.cut_proxies, row.log.len() > length);
        if grown {
            self.ship_log(instance);
        }
        if !cut && !closed {
            let event = traffic::Event::BackendResponded {
                connection: id.1,
                work,
                response: answer.into_bytes().into(),
                status,
                failed,
            };
            self.send_to_traffic(id.0 % 1_000, (id.0 / 1_000) as u64, HOP_US, event);
        }
    }

    /// Runs `VERB SESSION OPERATION [NUMBER]` and returns the answer and whether it is an error.
    fn execute(&mut self, id: InstanceId, session: &mut Session, text: &str) -> (String, bool) {
        let words: Vec<&str> = text.split(' ').collect();
        let user: u32 = words[1].parse().expect("a session number");
        let echo = format!("{user}.{}", words[2]);
        let now_us = self.now_us;
        if session.transaction.is_some() && session.user != Some(user) {
            let owner = session.user;
            let text = format!("{now_us}: session {user} runs in a transaction of {owner:?}");
            self.history.violations.push(text);
        }
        let row = self.instance(id);
        let Some(term) = row.primary_term.filter(|_| !session.failed) else {
            if words[0] == "read" && !session.failed {
                return (format!("{echo}|{:?}", row.visible(user, &[])), false);
            }
            return refuse_at_replica(session, words[0], &echo);
        };
        match words[0] {
            "begin" => {
                session.transaction = Some(Vec::new());
                session.user = Some(user);
            }
            "write" => {
                let number = words[3].parse().expect("a write number");
                let effect = Effect { session: user, number };
                match &mut session.transaction {
                    Some(effects) => effects.push(effect),
                    None => row.log.push(Entry { term, effects: vec![effect] }),
                }
            }
            "commit" => {
                let effects = session.transaction.take().unwrap_or_default();
                if !effects.is_empty() {
                    row.log.push(Entry { term, effects });
                }
            }
            "rollback" => session.transaction = None,
            _ => {
                let own = session.transaction.clone().unwrap_or_default();
                return (format!("{echo}|{:?}", row.visible(user, &own)), false);
            }
        }
        (format!("{echo}|ok"), false)
    }

    fn reset(&mut self, id: ConnectionId, instance: InstanceId) {
        let keeps_transactions = self.settings.sabotage == Some(Sabotage::KeepTransactions);
        let row = self.instance(instance);
        if !row.up || row.cut_proxies {
            return;
        }
        let Some(session) = row.connections.get_mut(&id) else { return };
        if !keeps_transactions {
            *session = Session::default();
        }
        let event = traffic::Event::ConnectionReset { connection: id.1 };
        self.send_to_traffic(id.0 % 1_000, (id.0 / 1_000) as u64, 2 * HOP_US, event);
    }

    /// Cancels nothing: the fake's statements are short and may win every race against a cancel
    /// request, which is the harder case for the proxy.
    fn cancel(&mut self, _id: ConnectionId, _instance: InstanceId) {}

    /// Closes a connection. A statement that runs is carried to its end, as a server that has read it
    /// does; an open transaction is rolled back.
    fn close(&mut self, id: ConnectionId, instance: InstanceId) {
        let row = self.instance(instance);
        if row.cut_proxies {
            return;
        }
        let Some(session) = row.connections.get(&id) else { return };
        if session.closed {
            return;
        }
        if session.running.is_none() {
            row.connections.remove(&id);
            return;
        }
        // The statement no longer counts against the slots: the proxy cannot know that it runs on.
        row.running -= 1;
        if session.transaction.is_some() {
            row.connections.remove(&id);
        } else if let Some(session) = row.connections.get_mut(&id) {
            session.closed = true;
        }
    }

    /// Closes all connections of a host that has died.
    pub(super) fn close_connections_of(&mut self, host: usize) {
        let incarnation = self.hosts[host].incarnation;
        let of_host: Vec<_> = self.connections.iter().map(|(id, one)| (*id, *one)).collect();
        for (id, instance) in of_host {
            if id.0 == host + 1_000 * incarnation as usize {
                let at_us = self.now_us + HOP_US;
                self.schedule(at_us, Happening::Close { id, instance });
            }
        }
    }

    /// Tells the hosts that an instance has died.
    pub(super) fn break_connections_to(&mut self, instance: InstanceId) {
        let row = self.instance(instance);
        let ids: Vec<ConnectionId> = row.connections.keys().copied().collect();
        row.connections.clear();
        row.running = 0;
        for id in ids {
            let reason = ConnectionLoss::Broken;
            let event = traffic::Event::ConnectionLost { connection: id.1, reason };
            self.send_to_traffic(id.0 % 1_000, (id.0 / 1_000) as u64, HOP_US, event);
        }
    }

    fn group_call(
        &mut self,
        asker: (usize, u64, Asker),
        id: InstanceId,
        operation: InstanceOperation,
        deadline_us: u64,
    ) {
        let now_us = self.now_us;
        let configuration = self.configurations.values().next_back().cloned();
        let row = self.instance(id);
        if row.cut_proxies || row.paused_until_us > now_us {
            let after_us = deadline_us.saturating_sub(now_us);
            self.answer_asker(asker, id, after_us, Err(ProbeFailure::Timeout));
            return;
        }
        if !row.up {
            self.answer_asker(asker, id, HOP_US, Err(ProbeFailure::ConnectionLost));
            return;
        }
        let index_of = |address| {
            let configuration = configuration.as_ref().expect("a configuration exists");
            let database = configuration.database(id.database).expect("the database exists");
            let found = database.instances.iter().position(|one| one.address == address);
            found.expect("the address belongs to an instance")
        };
        let length = row.log.len();
        let mut report = row.call(operation, now_us, index_of);
        if row.log.len() > length {
            self.ship_log(id);
        }
        if matches!(operation, InstanceOperation::Promote(_)) && self.settings.lose_promote_answer {
            self.settings.lose_promote_answer = false;
            let after_us = deadline_us.saturating_sub(now_us);
            self.answer_asker(asker, id, after_us, Err(ProbeFailure::Timeout));
            return;
        }
        if matches!(asker.2, Asker::Probe(_)) {
            self.falsify(asker.0, id, &mut report);
        }
        self.answer_asker(asker, id, HOP_US, Ok(report));
    }

    /// Changes the answer to a probe if the run is to show that a check catches a wrong confirmation.
    fn falsify(&mut self, host: usize, id: InstanceId, report: &mut InstanceReport) {
        let Some(served) = self.hosts[host].view.served_database(id.database) else { return };
        match self.settings.sabotage {
            Some(Sabotage::ConfirmAnyTerm) => report.accepted_term = served.term,
            Some(Sabotage::ConfirmAnyPosition) => {
                let primary = served.primary_index.map_or(0, usize::from);
                report.position = self.databases[&id.database][primary].position();
            }
            _ => {}
        }
    }

    fn answer_asker(
        &mut self,
        (host, incarnation, from): (usize, u64, Asker),
        instance: InstanceId,
        after_us: u64,
        result: Result<InstanceReport, ProbeFailure>,
    ) {
        match from {
            Asker::Control(call) => {
                let event = control::Event::InstanceCallCompleted { call, result };
                self.send_to_control(host, incarnation, after_us, event);
            }
            Asker::Probe(probe_number) => {
                let event = traffic::Event::Probed { instance, probe_number, result };
                self.send_to_traffic(host, incarnation, after_us, event);
            }
        }
    }

    /// Sends the log of a primary to its followers after their lag.
    fn ship_log(&mut self, primary: InstanceId) {
        let row = self.instance(primary);
        let Some(term) = row.primary_term else { return };
        let length = row.log.len();
        for index in 0..3 {
            let instance = InstanceId { index, ..primary };
            if instance == primary {
                continue;
            }
            let lag_us = self.instance(instance).lag_us;
            let from = usize::from(primary.index);
            let at_us = self.now_us + HOP_US + lag_us;
            self.schedule(at_us, Happening::Replicate { instance, from, term, length });
        }
    }

    /// Whether an instance can hear the primary that it follows.
    fn hears(&mut self, id: InstanceId, from: usize, term: Term) -> bool {
        let now_us = self.now_us;
        let index = u8::try_from(from).expect("few instances");
        let primary = self.instance(InstanceId { index, ..id });
        let sends = primary.up
            && !primary.cut_group
            && primary.primary_term == Some(term)
            && primary.paused_until_us <= now_us;
        let own = self.instance(id);
        sends
            && own.up
            && !own.cut_group
            && own.accepted_term == term
            && own.follows == Some((term, from))
    }

    fn replicate(&mut self, id: InstanceId, from: usize, term: Term, length: usize) {
        if !self.hears(id, from, term) {
            return;
        }
        let log = self.databases[&id.database][from].log.clone();
        let own = &mut self.instance(id).log;
        let common = own.len().min(length);
        // Entries of equal term and number are equal, and so is everything before them.
        let agrees = common == 0 || own[common - 1].term == log[common - 1].term;
        if agrees && own.len() < length {
            own.extend_from_slice(&log[common..length]);
        } else if !agrees || own.len() > log.len() {
            *own = log[..length].to_vec();
        }
    }

    fn keepalive(&mut self, id: InstanceId) {
        let now_us = self.now_us;
        self.schedule(now_us + KEEPALIVE_US, Happening::Keepalive { instance: id });
        let Some((term, from)) = self.instance(id).follows else { return };
        if !self.hears(id, from, term) {
            return;
        }
        let length = self.databases[&id.database][from].log.len();
        let row = self.instance(id);
        row.heard_us = Some(now_us);
        if row.log.len() != length {
            let at_us = now_us + row.lag_us;
            self.schedule(at_us, Happening::Replicate { instance: id, from, term, length });
        }
    }

    fn call_store(
        &mut self,
        (host, incarnation, call): (usize, u64, flamingorock_core::StoreCallKey),
        operation: control::StoreOperation,
        deadline_us: u64,
    ) {
        let after_us = deadline_us.saturating_sub(self.now_us);
        self.store.calls += 1;
        if self.store.outage {
            let event = control::Event::StoreCallCompleted {
                call,
                response: control::StoreResponse::Failed,
            };
            self.send_to_control(host, incarnation, after_us, event);
            return;
        }
        let response = self.store.call(&operation);
        let (after_us, response) = match response {
            Some(response) => (STORE_ANSWER_US, response),
            // A watch ends with the present value at its deadline.
            None => (after_us, self.store.read_configuration()),
        };
        let event = control::Event::StoreCallCompleted { call, response };
        self.send_to_control(host, incarnation, after_us, event);
    }
}

/// Time of the answer of the key-value service.
const STORE_ANSWER_US: u64 = 1_000;

/// Answers a statement that needs a primary at an instance that is none, or in a failed transaction.
fn refuse_at_replica(session: &mut Session, verb: &str, echo: &str) -> (String, bool) {
    let ends = verb == "commit" || verb == "rollback";
    if ends {
        session.transaction = None;
        session.failed = false;
    } else if session.transaction.is_some() {
        session.failed = true;
    }
    (format!("{echo}|error"), verb != "rollback")
}
