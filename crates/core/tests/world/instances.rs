//! Events at the fake instances and at the key-value service.

use bytes::Bytes;
use flamingorock_core::control::{self, InstanceOperation};
use flamingorock_core::traffic::{self, ConnectionLoss, ProbeFailure};
use flamingorock_core::{InstanceId, InstanceReport, Term, TransactionStatus, WorkItemKey};

use super::instance::{ConnectionId, LogEntry, Session, WriteId};
use super::settings::InjectedBug;
use super::{CONNECT_TIME_US, CallOrigin, NETWORK_LATENCY_US, ScheduledEvent, World};

/// Interval of replication keepalives.
const KEEPALIVE_US: u64 = 100_000;
/// Time after which a connection attempt without a response fails.
const CONNECT_TIMEOUT_US: u64 = 1_000_000;

impl World {
    pub(super) fn handle_at_instance(&mut self, scheduled: ScheduledEvent) {
        if let Some(resume_us) = self.paused_until(&scheduled) {
            self.schedule(resume_us, scheduled);
            return;
        }
        match scheduled {
            ScheduledEvent::Connect { connection, host, instance } => {
                self.connect(connection, host, instance);
            }
            ScheduledEvent::Statement { id, instance, work, payload } => {
                self.start_statement(id, instance, work, payload);
            }
            ScheduledEvent::StatementEnd { id, instance, work, payload, run } => {
                self.end_statement(id, instance, work, &payload, run);
            }
            ScheduledEvent::Reset { id, instance } => self.reset(id, instance),
            ScheduledEvent::Cancel { id, instance } => self.cancel(id, instance),
            ScheduledEvent::Close { id, instance } => self.close(id, instance),
            ScheduledEvent::InstanceCall {
                host,
                incarnation,
                origin,
                instance,
                operation,
                deadline_us,
            } => {
                self.handle_instance_call(
                    (host, incarnation, origin),
                    instance,
                    operation,
                    deadline_us,
                );
            }
            ScheduledEvent::Replicate { instance, from, term, length } => {
                self.replicate(instance, from, term, length);
            }
            ScheduledEvent::Keepalive { instance } => self.keepalive(instance),
            ScheduledEvent::StoreCall { host, incarnation, call, operation, deadline_us } => {
                self.handle_store_call((host, incarnation, call), operation, deadline_us);
            }
            _ => {}
        }
    }

    /// Returns the end of the pause if the event concerns a paused instance. Connection attempts and
    /// instance calls are not deferred: at a paused instance they time out.
    fn paused_until(&mut self, scheduled: &ScheduledEvent) -> Option<u64> {
        let (ScheduledEvent::Statement { instance, .. }
        | ScheduledEvent::StatementEnd { instance, .. }
        | ScheduledEvent::Reset { instance, .. }
        | ScheduledEvent::Cancel { instance, .. }
        | ScheduledEvent::Close { instance, .. }
        | ScheduledEvent::Keepalive { instance }
        | ScheduledEvent::Replicate { instance, .. }) = scheduled
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
        let unreachable = row.partitioned_from_proxies || row.paused_until_us > now_us;
        let (after_us, event) = if unreachable || !row.up {
            let reason = ConnectionLoss::ConnectFailed;
            let after_us = if unreachable { CONNECT_TIMEOUT_US } else { NETWORK_LATENCY_US };
            (after_us, traffic::Event::ConnectionLost { connection: key, reason })
        } else {
            row.connections.insert(id, Session::default());
            let of_host = row.connections.keys().filter(|other| other.0 == id.0).count();
            if of_host > limit {
                let text = format!("{now_us}: {of_host} connections to {instance}");
                self.history.violations.push(text);
            }
            (CONNECT_TIME_US, traffic::Event::ConnectionOpened { connection: key })
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
        if !row.up || row.partitioned_from_proxies {
            return;
        }
        let Some(session) = row.connections.get_mut(&id) else { return };
        session.running = Some(run);
        row.running += 1;
        if row.running > slots {
            let text = format!("{now_us}: {} statements run at {instance}", row.running);
            self.history.violations.push(text);
        }
        let end = ScheduledEvent::StatementEnd { id, instance, work, payload, run };
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
        let (response, failed) = self.execute(instance, &mut session, &text);
        let status = match (&session.transaction, session.failed) {
            (None, _) => TransactionStatus::Idle,
            (Some(_), false) => TransactionStatus::Open,
            (Some(_), true) => TransactionStatus::Failed,
        };
        let row = self.instance(instance);
        if !closed {
            row.connections.insert(id, session);
        }
        let (partitioned, grown) = (row.partitioned_from_proxies, row.log.len() > length);
        if grown {
            self.replicate_log(instance);
        }
        if !partitioned && !closed {
            let event = traffic::Event::BackendResponded {
                connection: id.1,
                work,
                response: response.into_bytes().into(),
                status,
                failed,
            };
            self.send_to_traffic(id.0 % 1_000, (id.0 / 1_000) as u64, NETWORK_LATENCY_US, event);
        }
    }

    /// Runs `VERB SESSION OPERATION [NUMBER]` and returns the response and whether the statement failed.
    /// The response echoes the session and operation, so that a misrouted one is detected.
    fn execute(&mut self, id: InstanceId, session: &mut Session, text: &str) -> (String, bool) {
        let words: Vec<&str> = text.split(' ').collect();
        let session_number: u32 = words[1].parse().expect("a session number");
        let echo = format!("{session_number}.{}", words[2]);
        let now_us = self.now_us;
        if session.transaction.is_some() && session.transaction_session != Some(session_number) {
            let owner = session.transaction_session;
            let text =
                format!("{now_us}: session {session_number} runs in a transaction of {owner:?}");
            self.history.violations.push(text);
        }
        let row = self.instance(id);
        let Some(term) = row.primary_term.filter(|_| !session.failed) else {
            if words[0] == "read" && !session.failed {
                return (format!("{echo}|{:?}", row.visible(session_number, &[])), false);
            }
            return fail_statement(session, words[0], &echo);
        };
        match words[0] {
            "begin" => {
                session.transaction = Some(Vec::new());
                session.transaction_session = Some(session_number);
            }
            "write" => {
                let number = words[3].parse().expect("a write number");
                let write = WriteId { session: session_number, number };
                match &mut session.transaction {
                    Some(writes) => writes.push(write),
                    None => row.log.push(LogEntry { term, writes: vec![write] }),
                }
            }
            "commit" => {
                let writes = session.transaction.take().unwrap_or_default();
                if !writes.is_empty() {
                    row.log.push(LogEntry { term, writes });
                }
            }
            "rollback" => session.transaction = None,
            _ => {
                let own = session.transaction.clone().unwrap_or_default();
                return (format!("{echo}|{:?}", row.visible(session_number, &own)), false);
            }
        }
        (format!("{echo}|ok"), false)
    }

    fn reset(&mut self, id: ConnectionId, instance: InstanceId) {
        let keeps_transactions =
            self.settings.injected_bug == Some(InjectedBug::KeepTransactionOnReset);
        let row = self.instance(instance);
        if !row.up || row.partitioned_from_proxies {
            return;
        }
        let Some(session) = row.connections.get_mut(&id) else { return };
        if !keeps_transactions {
            *session = Session::default();
        }
        let event = traffic::Event::ConnectionReset { connection: id.1 };
        self.send_to_traffic(id.0 % 1_000, (id.0 / 1_000) as u64, 2 * NETWORK_LATENCY_US, event);
    }

    /// Ignores the cancel request. Statements of the fake are short, and one that completes before it can
    /// be cancelled is the harder case for the proxy.
    fn cancel(&mut self, _id: ConnectionId, _instance: InstanceId) {}

    /// Closes a connection. A running statement outside a transaction is run to completion, as a server
    /// does that has read it; an open transaction is rolled back.
    fn close(&mut self, id: ConnectionId, instance: InstanceId) {
        let row = self.instance(instance);
        if row.partitioned_from_proxies {
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
        // The statement no longer counts towards the slots: the proxy cannot know that it still runs.
        row.running -= 1;
        if session.transaction.is_some() {
            row.connections.remove(&id);
        } else if let Some(session) = row.connections.get_mut(&id) {
            session.closed = true;
        }
    }

    /// Closes all connections of a killed host.
    pub(super) fn close_connections_of(&mut self, host: usize) {
        let incarnation = self.hosts[host].incarnation;
        let of_host: Vec<_> = self.connections.iter().map(|(id, one)| (*id, *one)).collect();
        for (id, instance) in of_host {
            if id.0 == host + 1_000 * incarnation as usize {
                let at_us = self.now_us + NETWORK_LATENCY_US;
                self.schedule(at_us, ScheduledEvent::Close { id, instance });
            }
        }
    }

    /// Breaks all connections to a killed instance and reports this to their hosts.
    pub(super) fn break_connections_to(&mut self, instance: InstanceId) {
        let row = self.instance(instance);
        let ids: Vec<ConnectionId> = row.connections.keys().copied().collect();
        row.connections.clear();
        row.running = 0;
        for id in ids {
            let reason = ConnectionLoss::Broken;
            let event = traffic::Event::ConnectionLost { connection: id.1, reason };
            self.send_to_traffic(id.0 % 1_000, (id.0 / 1_000) as u64, NETWORK_LATENCY_US, event);
        }
    }

    fn handle_instance_call(
        &mut self,
        call: (usize, u64, CallOrigin),
        id: InstanceId,
        operation: InstanceOperation,
        deadline_us: u64,
    ) {
        let now_us = self.now_us;
        let configuration = self.configurations.values().next_back().cloned();
        let row = self.instance(id);
        if row.partitioned_from_proxies || row.paused_until_us > now_us {
            let after_us = deadline_us.saturating_sub(now_us);
            self.complete_instance_call(call, id, after_us, Err(ProbeFailure::Timeout));
            return;
        }
        if !row.up {
            self.complete_instance_call(
                call,
                id,
                NETWORK_LATENCY_US,
                Err(ProbeFailure::ConnectionLost),
            );
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
            self.replicate_log(id);
        }
        if matches!(operation, InstanceOperation::Promote(_)) && self.settings.lose_promote_response
        {
            self.settings.lose_promote_response = false;
            let after_us = deadline_us.saturating_sub(now_us);
            self.complete_instance_call(call, id, after_us, Err(ProbeFailure::Timeout));
            return;
        }
        if matches!(call.2, CallOrigin::Probe(_)) {
            self.corrupt_probe_report(call.0, id, &mut report);
        }
        self.complete_instance_call(call, id, NETWORK_LATENCY_US, Ok(report));
    }

    /// Corrupts the report of a probe according to the injected bug, to prove that a check detects the
    /// wrong confirmation.
    fn corrupt_probe_report(&mut self, host: usize, id: InstanceId, report: &mut InstanceReport) {
        let Some(served) = self.hosts[host].view.served_database(id.database) else { return };
        match self.settings.injected_bug {
            Some(InjectedBug::SkipTermCheck) => report.accepted_term = served.term,
            Some(InjectedBug::SkipPositionCheck) => {
                let primary = served.primary_index.map_or(0, usize::from);
                report.position = self.databases[&id.database][primary].position();
            }
            _ => {}
        }
    }

    fn complete_instance_call(
        &mut self,
        (host, incarnation, origin): (usize, u64, CallOrigin),
        instance: InstanceId,
        after_us: u64,
        result: Result<InstanceReport, ProbeFailure>,
    ) {
        match origin {
            CallOrigin::Control(call) => {
                let event = control::Event::InstanceCallCompleted { call, result };
                self.send_to_control(host, incarnation, after_us, event);
            }
            CallOrigin::Probe(probe_number) => {
                let event = traffic::Event::Probed { instance, probe_number, result };
                self.send_to_traffic(host, incarnation, after_us, event);
            }
        }
    }

    /// Replicates the log of a primary to the other instances after their lag.
    fn replicate_log(&mut self, primary: InstanceId) {
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
            let at_us = self.now_us + NETWORK_LATENCY_US + lag_us;
            self.schedule(at_us, ScheduledEvent::Replicate { instance, from, term, length });
        }
    }

    /// Whether an instance receives replication from the primary of a term.
    fn receives_replication(&mut self, id: InstanceId, from: usize, term: Term) -> bool {
        let now_us = self.now_us;
        let index = u8::try_from(from).expect("few instances");
        let primary = self.instance(InstanceId { index, ..id });
        let sends = primary.up
            && !primary.partitioned_from_group
            && primary.primary_term == Some(term)
            && primary.paused_until_us <= now_us;
        let own = self.instance(id);
        sends
            && own.up
            && !own.partitioned_from_group
            && own.accepted_term == term
            && own.follows == Some((term, from))
    }

    fn replicate(&mut self, id: InstanceId, from: usize, term: Term, length: usize) {
        if !self.receives_replication(id, from, term) {
            return;
        }
        let log = self.databases[&id.database][from].log.clone();
        let own = &mut self.instance(id).log;
        let common = own.len().min(length);
        // Entries with the same term and index are equal, and so are all entries before them.
        let agrees = common == 0 || own[common - 1].term == log[common - 1].term;
        if agrees && own.len() < length {
            own.extend_from_slice(&log[common..length]);
        } else if !agrees || own.len() > log.len() {
            *own = log[..length].to_vec();
        }
    }

    fn keepalive(&mut self, id: InstanceId) {
        let now_us = self.now_us;
        self.schedule(now_us + KEEPALIVE_US, ScheduledEvent::Keepalive { instance: id });
        let Some((term, from)) = self.instance(id).follows else { return };
        if !self.receives_replication(id, from, term) {
            return;
        }
        let length = self.databases[&id.database][from].log.len();
        let row = self.instance(id);
        row.primary_last_heard_us = Some(now_us);
        if row.log.len() != length {
            let at_us = now_us + row.lag_us;
            self.schedule(at_us, ScheduledEvent::Replicate { instance: id, from, term, length });
        }
    }

    fn handle_store_call(
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
            Some(response) => (STORE_RESPONSE_LATENCY_US, response),
            // A watch without a change returns the current value at its deadline.
            None => (after_us, self.store.read_configuration()),
        };
        let event = control::Event::StoreCallCompleted { call, response };
        self.send_to_control(host, incarnation, after_us, event);
    }
}

/// Time that a response of the key-value service takes to reach the host.
const STORE_RESPONSE_LATENCY_US: u64 = 1_000;

/// Fails a statement that needs a primary on a replica, or that belongs to a failed transaction.
fn fail_statement(session: &mut Session, verb: &str, echo: &str) -> (String, bool) {
    let ends = verb == "commit" || verb == "rollback";
    if ends {
        session.transaction = None;
        session.failed = false;
    } else if session.transaction.is_some() {
        session.failed = true;
    }
    (format!("{echo}|error"), verb != "rollback")
}
