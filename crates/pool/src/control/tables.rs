//! Tables of the control machine.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;

use super::directory::Directory;
use super::member::Member;
use super::membership::Membership;
use super::replica_set_state::ReplicaSetState;
use super::{Action, ControlConfig, Event, StateChange, StoreCall};
use crate::Configuration;

/// Progress of mirroring the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MirrorStage {
    /// Nothing has been read, or a call has failed; everything must be read.
    Idle,
    /// Pages are being read. The watch will start at the first page's revision, so that it includes
    /// changes made during the listing.
    Listing { as_of: Option<u64> },
    /// The mirror follows changes.
    Watching { after_revision: u64 },
}

/// Mirror of the store.
#[derive(Debug)]
pub struct Mirror {
    pub stage: MirrorStage,
    pub is_calling: bool,
    pub next_call_us: u64,
    pub failures: u32,
    /// Whether the store has been read completely at least once.
    pub is_complete: bool,
    /// Keys that the current listing has returned.
    pub listed_keys: Vec<super::StoreKey>,
    /// Since when every call has failed, `None` after a response.
    pub failing_since_us: Option<u64>,
    /// Since when the store has responded without interruption.
    pub contact_since_us: u64,
    pub is_store_unreachable: bool,
    /// Since when another proxy is known to have newer data.
    pub behind_since_us: Option<u64>,
    /// When the last call was sent.
    pub called_us: u64,
    /// Highest revision of an item that this proxy has read.
    pub newest_revision: u64,
    /// Highest such revision that another proxy has reported.
    pub reported_revision: u64,
    /// Since when another proxy has seen a change that the watch has not delivered.
    pub missed_since_us: Option<u64>,
    /// When the first page of the current listing was requested.
    pub listing_since_us: u64,
    /// Membership that the current listing has returned. It is applied with the last page, when the
    /// claims that are older have been read too.
    pub listed_membership: Option<super::StoreItem>,
}

/// Registration of this proxy in the store.
#[derive(Debug, Default)]
pub struct Registration {
    pub lease: Option<u64>,
    pub is_written: bool,
    pub is_calling: bool,
    pub next_call_us: u64,
    /// Calls that have failed since the last response.
    pub failures: u32,
}

/// A shutdown in progress.
#[derive(Clone, Copy, Debug)]
pub struct Stopping {
    pub exit_us: u64,
}

/// All tables, and the inputs and outputs of the current tick.
#[derive(Debug)]
pub struct Tables {
    pub config: ControlConfig,
    pub events: Vec<Event>,
    pub actions: Vec<Action>,
    pub changes: Vec<StateChange>,
    pub mirror: Mirror,
    pub registration: Registration,
    /// The other proxies that this one knows, members or not.
    pub members: BTreeMap<Bytes, Member>,
    pub membership: Membership,
    pub replica_sets: BTreeMap<Bytes, ReplicaSetState>,
    /// Directory records, by replica set.
    pub directories: BTreeMap<Bytes, Directory>,
    pub configuration: Arc<Configuration>,
    /// Highest configuration version that another proxy has reported.
    pub reported_configuration_version: u64,
    pub heartbeat_sequence: u64,
    pub next_heartbeat_us: u64,
    /// Whether to send heartbeats to all proxies at once because this proxy's state has changed.
    pub is_heartbeat_urgent: bool,
    /// Whether to send heartbeats to a few proxies at once, which pass the news on.
    pub is_gossip_due: bool,
    /// Index of the replica set whose turn it is to have a position sent.
    pub sample_turn: usize,
    /// Version of what this proxy knows about the replica sets; each change raises it.
    pub sets_version: u64,
    /// Whether the published view may be out of date.
    pub is_view_outdated: bool,
    pub view_sequence: u64,
    pub is_ready: bool,
    pub had_permit: bool,
    pub stopping: Option<Stopping>,
    /// The view that was published last.
    pub last_view: Option<Arc<crate::PoolView>>,
}

impl Tables {
    pub fn new(config: ControlConfig, now_us: u64) -> Self {
        let heartbeat_sequence = config.incarnation;
        Self {
            config,
            events: Vec::new(),
            actions: Vec::new(),
            changes: Vec::new(),
            mirror: Mirror {
                stage: MirrorStage::Idle,
                is_calling: false,
                next_call_us: 0,
                failures: 0,
                is_complete: false,
                listed_keys: Vec::new(),
                failing_since_us: None,
                contact_since_us: now_us,
                is_store_unreachable: false,
                behind_since_us: None,
                called_us: 0,
                newest_revision: 0,
                reported_revision: 0,
                missed_since_us: None,
                listing_since_us: 0,
                listed_membership: None,
            },
            registration: Registration::default(),
            members: BTreeMap::new(),
            membership: Membership::new(now_us),
            replica_sets: BTreeMap::new(),
            directories: BTreeMap::new(),
            configuration: Arc::default(),
            reported_configuration_version: 0,
            // Starts at the incarnation, so that two runs of a proxy never use the same sequence
            // number and an old echo confirms nothing.
            heartbeat_sequence,
            next_heartbeat_us: 0,
            is_heartbeat_urgent: false,
            is_gossip_due: false,
            sample_turn: 0,
            sets_version: 0,
            is_view_outdated: false,
            view_sequence: 0,
            is_ready: false,
            had_permit: true,
            stopping: None,
            last_view: None,
        }
    }

    /// Sends a call to the store that is abandoned at the deadline.
    pub fn call_store(&mut self, call: StoreCall, deadline_us: u64) {
        self.actions.push(Action::Store { call, deadline_us });
    }

    /// Members that are registered or in contact.
    pub fn present_members(&self, now_us: u64) -> impl Iterator<Item = (&Bytes, &Member)> {
        self.members.iter().filter(move |(_, member)| member.is_present(now_us))
    }

    /// Whether a proxy is this one, or is registered or in contact.
    pub fn is_present(&self, name: &Bytes, now_us: u64) -> bool {
        *name == self.config.name
            || self.members.get(name).is_some_and(|member| member.is_present(now_us))
    }

    /// Names of the replica sets that the configuration contains. Entries and records of others are
    /// kept, because the configuration may follow them, but nothing is decided about those.
    pub fn configured_sets(&self) -> impl Iterator<Item = &Bytes> {
        let rules = self.configuration.replica_sets.iter();
        rules.map(|rule| &rule.name).filter(|name| self.replica_sets.contains_key(*name))
    }

    /// Whether the configuration contains a replica set.
    pub fn is_configured(&self, name: &Bytes) -> bool {
        self.configuration.replica_sets.iter().any(|rule| rule.name == *name)
    }

    /// Number of proxies in the fleet, including this one.
    pub fn fleet_size(&self, now_us: u64) -> usize {
        1 + self.present_members(now_us).count()
    }
}

/// Converts a name to text for the log.
pub fn display_name(name: &Bytes) -> String {
    String::from_utf8_lossy(name).into_owned()
}
