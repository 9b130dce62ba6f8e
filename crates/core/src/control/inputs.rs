//! Inputs of a tick, grouped by the system that consumes them.

use std::sync::Arc;

use super::{Event, HostEntry, StoreOperation, StoreResponse};
use crate::configuration::Configuration;
use crate::message::{ControlMessage, Heartbeat};
use crate::traffic::ProbeFailure;
use crate::{DatabaseId, HostId, InstanceCallKey, InstanceReport, StoreCallKey};

/// Outcome of a call to a database instance.
pub(crate) type InstanceCallResult = Result<InstanceReport, ProbeFailure>;

/// Inputs of a tick, grouped by the system that consumes them.
#[derive(Debug, Default)]
pub(crate) struct Inputs {
    pub(crate) heartbeats: Vec<Heartbeat>,
    pub(crate) messages: Vec<(HostId, ControlMessage)>,
    pub(crate) store_responses: Vec<(StoreCallKey, StoreResponse)>,
    /// Responses to reads and watches of the configuration document, taken out of
    /// `store_responses`.
    pub(crate) configuration_responses: Vec<StoreResponse>,
    /// Responses to calls for ownership records, taken out of `store_responses`.
    pub(crate) record_responses: Vec<(StoreOperation, StoreResponse)>,
    pub(crate) host_list: Option<Vec<HostEntry>>,
    pub(crate) parsed: Vec<(u64, Result<Arc<Configuration>, String>)>,
    pub(crate) instance_responses: Vec<(InstanceCallKey, InstanceCallResult)>,
    pub(crate) quiescent: Vec<(DatabaseId, u32)>,
    pub(crate) superseded: Vec<(DatabaseId, u32)>,
    pub(crate) switchover_requests: Vec<(DatabaseId, u8)>,
    pub(crate) drain_requested: bool,
}

impl Inputs {
    /// Adds an event to the inputs of the system that consumes it.
    pub(crate) fn push(&mut self, event: Event) {
        match event {
            Event::HeartbeatReceived(heartbeat) => self.heartbeats.push(heartbeat),
            Event::MessageReceived { from, message } => self.messages.push((from, message)),
            Event::StoreCallCompleted { call, response } => {
                self.store_responses.push((call, response))
            }
            Event::HostListRead(entries) => self.host_list = Some(entries),
            Event::ConfigurationParsed { version, result } => self.parsed.push((version, result)),
            Event::InstanceCallCompleted { call, result } => {
                self.instance_responses.push((call, result))
            }
            Event::Quiescent { database, epoch } => self.quiescent.push((database, epoch)),
            Event::Superseded { database, epoch } => self.superseded.push((database, epoch)),
            Event::SwitchoverRequested { database, instance_index } => {
                self.switchover_requests.push((database, instance_index));
            }
            Event::DrainRequested => self.drain_requested = true,
        }
    }
}
