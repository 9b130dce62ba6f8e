//! Monitor connections: calls to database instances.

mod monitor;

use std::collections::HashMap;
use std::net::SocketAddr;

use flamingorock_core::arena::Arena;
use flamingorock_core::configuration::Configuration;
use flamingorock_core::control::InstanceOperation;
use flamingorock_core::traffic::ProbeFailure;
use flamingorock_core::{InstanceId, InstanceReport};
use flamingorock_frontend::GroupProtocol;
use mio::Token;

use crate::io_context::IoContext;
use crate::net::MonitorSocketKey;
use monitor::Monitor;

/// Answer to a call.
pub type CallResult = Result<InstanceReport, ProbeFailure>;

/// An instance as far as a monitor connection needs it.
#[derive(Clone, Copy, Debug)]
pub struct MonitorTarget<'a> {
    /// The instance.
    pub instance: InstanceId,
    /// Its address.
    pub address: SocketAddr,
    /// Name of its database.
    pub database: &'a str,
}

impl<'a> MonitorTarget<'a> {
    /// Finds an instance in a configuration.
    #[must_use]
    pub fn find(configuration: &'a Configuration, instance: InstanceId) -> Option<Self> {
        let database = &configuration.database(instance.database)?.name;
        let address = configuration.instance(instance)?.address;
        Some(Self { instance, address, database })
    }
}

/// A call that waits for its answer.
#[derive(Clone, Copy, Debug)]
pub struct Call<T> {
    /// Comes back with the answer.
    pub tag: T,
    /// What to do.
    pub operation: InstanceOperation,
    /// When the call is reported as timed out.
    pub deadline_us: u64,
}

/// Monitor connections of one thread, one for each instance, opened on demand and closed when they
/// have been idle. Calls to the same instance are carried out in order.
#[derive(Debug)]
pub struct Monitors<T, P> {
    protocol: P,
    monitors: Arena<MonitorSocketKey, Monitor<T>>,
    by_instance: HashMap<InstanceId, MonitorSocketKey>,
}

impl<T: Copy, P: GroupProtocol> Monitors<T, P> {
    /// Creates the table.
    #[must_use]
    pub fn new(protocol: P) -> Self {
        Self { protocol, monitors: Arena::new(), by_instance: HashMap::new() }
    }

    /// Starts a call.
    pub fn call(
        &mut self,
        io: &mut IoContext,
        target: MonitorTarget<'_>,
        call: Call<T>,
        report: impl FnMut(T, CallResult),
    ) {
        io.metrics.monitor_calls.inc();
        let existing = self.by_instance.get(&target.instance).copied();
        let moved = |key| self.monitors.get(key).is_some_and(|it| it.address != target.address);
        if let Some(key) = existing.filter(|&key| moved(key)) {
            // A new configuration has given the instance another address.
            self.close(io, key);
        }
        let key = match self.by_instance.get(&target.instance) {
            Some(&key) => key,
            None => self.add(target),
        };
        let monitor = self.monitors.get_mut(key).expect("the monitors by instance are present");
        monitor.calls.push_back(call);
        monitor.arm(io, key);
        self.advance(io, key, report);
    }

    fn add(&mut self, target: MonitorTarget<'_>) -> MonitorSocketKey {
        let key = self.monitors.insert(Monitor::new(target));
        self.by_instance.insert(target.instance, key);
        key
    }

    /// Handles an event of a connection, and output that was queued for it.
    pub fn ready(&mut self, io: &mut IoContext, token: Token, report: impl FnMut(T, CallResult)) {
        self.advance(io, token.into(), report);
    }

    fn advance(
        &mut self,
        io: &mut IoContext,
        key: MonitorSocketKey,
        mut report: impl FnMut(T, CallResult),
    ) {
        let Some(monitor) = self.monitors.get_mut(key) else { return };
        if monitor.advance(io, key, &self.protocol, &mut report).is_err() {
            monitor.disconnect(io);
            for call in monitor.calls.drain(..) {
                io.metrics.monitor_failures.inc();
                report(call.tag, Err(ProbeFailure::ConnectionLost));
            }
            self.close(io, key);
        }
    }

    /// Handles a deadline of a connection.
    pub fn expire(
        &mut self,
        io: &mut IoContext,
        token: Token,
        mut report: impl FnMut(T, CallResult),
    ) {
        let key = token.into();
        let Some(monitor) = self.monitors.get_mut(key) else { return };
        monitor.disarm();
        if monitor.is_stale(io.now_us) {
            return self.close(io, key);
        }
        if !monitor.is_due(io.now_us) {
            return monitor.arm(io, key);
        }
        let expired = monitor.expire(io);
        for tag in expired {
            io.metrics.monitor_failures.inc();
            report(tag, Err(ProbeFailure::Timeout));
        }
        monitor.arm(io, key);
        self.advance(io, key, report);
    }

    fn close(&mut self, io: &mut IoContext, key: MonitorSocketKey) {
        if let Some(mut monitor) = self.monitors.remove(key) {
            self.by_instance.remove(&monitor.instance);
            monitor.disconnect(io);
        }
    }
}
