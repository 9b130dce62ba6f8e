//! Inputs of a tick, sorted by the system that takes them.

use std::sync::Arc;

use super::{Event, HostEntry, StoreOperation, StoreResponse};
use crate::configuration::Configuration;
use crate::message::{ControlMessage, Heartbeat};
use crate::traffic::ProbeFailure;
use crate::{DatabaseId, HostId, InstanceCallKey, InstanceReport, StoreCallKey};

/// Answer to a group call.
pub(crate) type GroupResult = Result<InstanceReport, ProbeFailure>;

/// Inputs of a tick, sorted by the system that takes them.
#[derive(Debug, Default)]
pub(crate) struct Inputs {
    pub(crate) heartbeats: Vec<Heartbeat>,
    pub(crate) messages: Vec<(HostId, ControlMessage)>,
    pub(crate) store_answers: Vec<(StoreCallKey, StoreResponse)>,
    /// Answers of the configuration loop, sorted out of `store_answers`.
    pub(crate) configuration_answers: Vec<StoreResponse>,
    /// Answers of the ownership loop, sorted out of `store_answers`.
    pub(crate) record_answers: Vec<(StoreOperation, StoreResponse)>,
    pub(crate) host_list: Option<Vec<HostEntry>>,
    pub(crate) parsed: Vec<(u64, Result<Arc<Configuration>, String>)>,
    pub(crate) group_answers: Vec<(InstanceCallKey, GroupResult)>,
    pub(crate) quiescent: Vec<(DatabaseId, u32)>,
    pub(crate) superseded: Vec<(DatabaseId, u32)>,
    pub(crate) promotion_requests: Vec<(DatabaseId, u8)>,
    pub(crate) drain_requested: bool,
}

impl Inputs {
    /// Adds an event to the queue of its system.
    pub(crate) fn push(&mut self, event: Event) {
        match event {
            Event::HeartbeatReceived(heartbeat) => self.heartbeats.push(heartbeat),
            Event::MessageReceived { from, message } => self.messages.push((from, message)),
            Event::StoreCallCompleted { call, response } => {
                self.store_answers.push((call, response))
            }
            Event::HostListRead(entries) => self.host_list = Some(entries),
            Event::ConfigurationParsed { version, result } => self.parsed.push((version, result)),
            Event::InstanceCallCompleted { call, result } => {
                self.group_answers.push((call, result))
            }
            Event::Quiescent { database, epoch } => self.quiescent.push((database, epoch)),
            Event::Superseded { database, epoch } => self.superseded.push((database, epoch)),
            Event::SwitchoverRequested { database, instance_index } => {
                self.promotion_requests.push((database, instance_index));
            }
            Event::DrainRequested => self.drain_requested = true,
        }
    }
}
