//! Peer hosts and their liveness.

/// Time without a heartbeat after which a peer can be suspected.
pub(crate) const SUSPICION_TIMEOUT_US: u64 = 600_000;
/// Suspicion timeout of a peer that does not send every heartbeat to this host. Among 500 hosts,
/// random heartbeats and the lists in other peers' heartbeats mention a given peer about every 5 s.
pub(crate) const INDIRECT_SUSPICION_TIMEOUT_US: u64 = 60_000_000;
/// Age up to which a heartbeat counts as recent: its sender is then listed as alive in this host's
/// own heartbeats, and the peers that it lists as alive are not suspected.
pub(crate) const RECENT_HEARTBEAT_US: u64 = 300_000;

/// Liveness of a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum HostState {
    /// No heartbeat since this process started, and the suspicion timeout has not passed.
    Unknown,
    Alive,
    Suspected,
}

/// A peer host.
#[derive(Debug)]
pub(crate) struct Host {
    pub(crate) state: HostState,
    pub(crate) incarnation: u64,
    pub(crate) sequence: u64,
    pub(crate) draining: bool,
    pub(crate) configuration_version: u64,
    /// When the last heartbeat of the peer itself arrived.
    pub(crate) last_heartbeat_at_us: Option<u64>,
    /// Whether the peer sends every heartbeat to this host: in a small fleet, or if this host is
    /// one of its ring successors.
    pub(crate) is_direct: bool,
    /// When the suspicion timeout expires. A mention by a third host extends it only for a peer
    /// that is not `is_direct`.
    pub(crate) heartbeat_timeout_at_us: u64,
    /// When a third host's heartbeat last listed the peer as alive.
    pub(crate) indirectly_heard_at_us: Option<u64>,
}

impl Host {
    pub(crate) fn new(is_direct: bool, now_us: u64) -> Self {
        let suspicion_timeout_us =
            if is_direct { SUSPICION_TIMEOUT_US } else { INDIRECT_SUSPICION_TIMEOUT_US };
        Self {
            state: HostState::Unknown,
            incarnation: 0,
            sequence: 0,
            draining: false,
            configuration_version: 0,
            last_heartbeat_at_us: None,
            is_direct,
            heartbeat_timeout_at_us: now_us + suspicion_timeout_us,
            indirectly_heard_at_us: None,
        }
    }

    /// When the peer becomes suspected unless more is heard from it or about it.
    pub(crate) fn suspect_at_us(&self) -> u64 {
        let indirect_until_us =
            self.indirectly_heard_at_us.map_or(0, |at_us| at_us + RECENT_HEARTBEAT_US);
        self.heartbeat_timeout_at_us.max(indirect_until_us)
    }
}
