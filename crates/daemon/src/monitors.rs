//! Monitor connections, over which this proxy makes calls to database instances.

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

/// Response to a call, or the reason why there is none.
pub type InstanceCallResult = Result<InstanceReport, ProbeFailure>;

/// Instance and address that a monitor connection is for.
#[derive(Clone, Copy, Debug)]
pub struct MonitorTarget<'a> {
    /// Key of the instance.
    pub instance: InstanceId,
    /// Address in the current configuration.
    pub address: SocketAddr,
    /// Name of the database that the instance holds.
    pub database: &'a str,
}

impl<'a> MonitorTarget<'a> {
    /// Finds an instance in a configuration. Returns `None` if it is not configured.
    #[must_use]
    pub fn find(configuration: &'a Configuration, instance: InstanceId) -> Option<Self> {
        let database = &configuration.database(instance.database)?.name;
        let address = configuration.instance(instance)?.address;
        Some(Self { instance, address, database })
    }
}

/// A call in flight or queued.
#[derive(Clone, Copy, Debug)]
pub struct InstanceCall<T> {
    /// Returned with the result, to identify the call.
    pub tag: T,
    /// Operation that the instance is to perform.
    pub operation: InstanceOperation,
    /// Time at which the call is reported as timed out.
    pub deadline_us: u64,
}

/// Table of the monitor connections of one thread: one for each instance, opened on demand and
/// closed when idle for a while. Calls to the same instance run in order.
#[derive(Debug)]
pub struct Monitors<T, P> {
    protocol: P,
    monitors: Arena<MonitorSocketKey, Monitor<T>>,
    by_instance: HashMap<InstanceId, MonitorSocketKey>,
}

impl<T: Copy, P: GroupProtocol> Monitors<T, P> {
    /// Creates an empty table.
    #[must_use]
    pub fn new(protocol: P) -> Self {
        Self { protocol, monitors: Arena::new(), by_instance: HashMap::new() }
    }

    /// Starts a call, or queues it behind earlier calls to the same instance.
    pub fn call(
        &mut self,
        io: &mut IoContext,
        target: MonitorTarget<'_>,
        call: InstanceCall<T>,
        report: impl FnMut(T, InstanceCallResult),
    ) {
        io.metrics.monitor_calls.inc();
        let existing = self.by_instance.get(&target.instance).copied();
        let has_moved =
            |key| self.monitors.get(key).is_some_and(|monitor| monitor.address != target.address);
        if let Some(key) = existing.filter(|&key| has_moved(key)) {
            // The instance has another address in the current configuration.
            self.close(io, key);
        }
        let key = match self.by_instance.get(&target.instance) {
            Some(&key) => key,
            None => self.add(target),
        };
        let monitor = self.monitors.get_mut(key).expect("each key in by_instance is in the table");
        monitor.calls.push_back(call);
        monitor.arm(io, key);
        self.advance(io, key, report);
    }

    fn add(&mut self, target: MonitorTarget<'_>) -> MonitorSocketKey {
        let key = self.monitors.insert(Monitor::new(target));
        self.by_instance.insert(target.instance, key);
        key
    }

    /// Handles readiness of a connection, and sends its queued calls.
    pub fn ready(
        &mut self,
        io: &mut IoContext,
        token: Token,
        report: impl FnMut(T, InstanceCallResult),
    ) {
        self.advance(io, token.into(), report);
    }

    fn advance(
        &mut self,
        io: &mut IoContext,
        key: MonitorSocketKey,
        mut report: impl FnMut(T, InstanceCallResult),
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

    /// Handles a deadline of a connection: reports calls that have timed out and closes idle
    /// connections.
    pub fn expire(
        &mut self,
        io: &mut IoContext,
        token: Token,
        mut report: impl FnMut(T, InstanceCallResult),
    ) {
        let key = token.into();
        let Some(monitor) = self.monitors.get_mut(key) else { return };
        monitor.disarm();
        if monitor.has_idled_out(io.now_us) {
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
