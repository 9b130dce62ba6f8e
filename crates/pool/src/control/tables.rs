//! Tables of the control machine.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;

use super::directory::Directory;
use super::member::Member;
use super::replica_set_state::ReplicaSetState;
use super::{Action, ControlConfig, Event, StateChange, StoreCall};
use crate::Configuration;

/// State of the mirror of the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MirrorStage {
    /// Everything is to be read.
    Idle,
    /// Pages are being read; the watch goes on from the first page's revision.
    Listing { as_of: Option<u64> },
    /// Changes are watched.
    Watching { after_revision: u64 },
}

/// Mirror of the store.
#[derive(Debug)]
pub struct Mirror {
    pub stage: MirrorStage,
    pub is_calling: bool,
    pub next_us: u64,
    pub failures: u32,
    /// Whether everything has been read at least once.
    pub is_complete: bool,
    /// Instances and members found by the present listing.
    pub found: Vec<super::StoreKey>,
    /// Last answer of the store, and since when it has answered without a gap.
    pub heard_us: u64,
    pub contact_since_us: u64,
    pub is_lost: bool,
    /// Since when another proxy is known to have something newer.
    pub behind_since_us: Option<u64>,
}

/// Registration of this proxy.
#[derive(Debug, Default)]
pub struct Registration {
    pub lease: Option<u64>,
    pub is_written: bool,
    pub is_calling: bool,
    pub next_us: u64,
}

/// Progress of a shutdown.
#[derive(Clone, Copy, Debug)]
pub struct Stopping {
    pub exit_us: u64,
}

/// Every table and the outputs of the present tick.
#[derive(Debug)]
pub struct Tables {
    pub config: ControlConfig,
    pub events: Vec<Event>,
    pub actions: Vec<Action>,
    pub changes: Vec<StateChange>,
    pub mirror: Mirror,
    pub registration: Registration,
    pub members: BTreeMap<Bytes, Member>,
    pub sets: BTreeMap<Bytes, ReplicaSetState>,
    /// Records of the sets' instances, by replica set.
    pub directories: BTreeMap<Bytes, Directory>,
    pub configuration: Arc<Configuration>,
    /// Newest version that another proxy has reported.
    pub reported_version: u64,
    pub sequence: u64,
    pub heartbeat_us: u64,
    /// Whether heartbeats go out at once, because a belief has changed.
    pub is_urgent: bool,
    /// Whether the view must be published.
    pub is_changed: bool,
    pub view_sequence: u64,
    pub is_ready: bool,
    pub had_permit: bool,
    pub stopping: Option<Stopping>,
    /// View that was published last.
    pub last_view: Option<Arc<crate::PoolView>>,
}

impl Tables {
    pub fn new(config: ControlConfig, now_us: u64) -> Self {
        let sequence = config.incarnation;
        Self {
            config,
            events: Vec::new(),
            actions: Vec::new(),
            changes: Vec::new(),
            mirror: Mirror {
                stage: MirrorStage::Idle,
                is_calling: false,
                next_us: 0,
                failures: 0,
                is_complete: false,
                found: Vec::new(),
                heard_us: now_us,
                contact_since_us: now_us,
                is_lost: false,
                behind_since_us: None,
            },
            registration: Registration::default(),
            members: BTreeMap::new(),
            sets: BTreeMap::new(),
            directories: BTreeMap::new(),
            configuration: Arc::default(),
            reported_version: 0,
            // Sequences of two lives of a proxy never meet, so that an old echo confirms nothing.
            sequence,
            heartbeat_us: 0,
            is_urgent: false,
            is_changed: false,
            view_sequence: 0,
            is_ready: false,
            had_permit: true,
            stopping: None,
            last_view: None,
        }
    }

    /// Calls the store with a deadline.
    pub fn call_store(&mut self, call: StoreCall, deadline_us: u64) {
        self.actions.push(Action::Store { call, deadline_us });
    }

    /// Members that are in the store or in contact.
    pub fn present_members(&self, now_us: u64) -> impl Iterator<Item = (&Bytes, &Member)> {
        self.members.iter().filter(move |(_, member)| member.is_present(now_us))
    }

    /// Proxies of the fleet, this one included.
    pub fn fleet_size(&self, now_us: u64) -> usize {
        1 + self.present_members(now_us).count()
    }
}

/// A name for a log line.
pub fn text(name: &Bytes) -> String {
    String::from_utf8_lossy(name).into_owned()
}
