//! Peers.

/// Time without a heartbeat after which a host can be suspected.
pub(crate) const SUSPICION_TIMEOUT_US: u64 = 600_000;
/// Suspicion time of a host whose heartbeats do not come here regularly. Among 500 hosts one is heard
/// or listed about every 5 s, at random.
pub(crate) const INDIRECT_SUSPICION_TIMEOUT_US: u64 = 60_000_000;
/// Age up to which a heartbeat counts as recent, both for listing its sender as heard and for
/// believing what it lists.
pub(crate) const RECENT_HEARTBEAT_US: u64 = 300_000;

/// What is known of a peer's life.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum HostState {
    /// Not heard yet, and not long enough to suspect it.
    Unknown,
    Alive,
    Suspected,
}

/// A peer.
#[derive(Debug)]
pub(crate) struct Host {
    pub(crate) state: HostState,
    pub(crate) incarnation: u64,
    pub(crate) sequence: u64,
    pub(crate) draining: bool,
    pub(crate) configuration_version: u64,
    /// When its last heartbeat arrived.
    pub(crate) last_heartbeat_at_us: Option<u64>,
    /// Whether every heartbeat of the host comes here.
    pub(crate) is_direct: bool,
    /// When it counts as not heard for the suspicion time, as far as its own heartbeats go.
    pub(crate) heartbeat_timeout_at_us: u64,
    /// When a heartbeat of a third host last listed it as heard.
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

    /// When the host becomes suspect if nothing more is heard of it.
    pub(crate) fn suspect_at_us(&self) -> u64 {
        let indirect_until_us =
            self.indirectly_heard_at_us.map_or(0, |at_us| at_us + RECENT_HEARTBEAT_US);
        self.heartbeat_timeout_at_us.max(indirect_until_us)
    }
}
