//! Counters of the control machine.

use serde::Serialize;

/// Counters of the control machine since its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct ControlCounters {
    /// Heartbeats sent, one for each receiver.
    pub heartbeats_sent: u64,
    /// Heartbeats that counted.
    pub heartbeats_received: u64,
    /// Heartbeats dropped because they were stale, reordered or from an unknown host.
    pub heartbeats_dropped: u64,
    /// Peers suspected dead.
    pub suspicions: u64,
    /// Ownerships claimed through the key-value service.
    pub claims: u64,
    /// Ownerships taken over with a reserved epoch.
    pub takeovers: u64,
    /// Ownerships lost to a higher epoch.
    pub step_downs: u64,
    /// Primaries declared lost.
    pub primaries_lost: u64,
    /// Primaries promoted.
    pub promotions: u64,
    /// Databases offered to their standby.
    pub handover_offers: u64,
    /// Calls to the key-value service.
    pub store_calls: u64,
    /// Calls to the key-value service that failed or were not answered in time.
    pub store_failures: u64,
    /// Calls to database instances.
    pub group_calls: u64,
    /// Calls to database instances that failed or were not answered in time.
    pub group_failures: u64,
    /// Configuration documents refused because they do not parse.
    pub configurations_refused: u64,
    /// Configuration documents ignored because their version is not higher than the one in force.
    pub configurations_stale: u64,
    /// Views published.
    pub views_published: u64,
    /// Delays of this process long enough to distort its view of other hosts.
    pub stalls: u64,
}
