//! Counters of the control-plane state machine.

use serde::Serialize;

/// Counters of the control-plane state machine since the process started, serialised under these
/// field names.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct ControlCounters {
    /// Heartbeats sent, one for each receiver.
    pub heartbeats_sent: u64,
    /// Heartbeats received and accepted.
    pub heartbeats_received: u64,
    /// Heartbeats dropped because they were stale, reordered or from an unknown host.
    pub heartbeats_dropped: u64,
    /// Peers suspected of having failed.
    pub suspicions: u64,
    /// Ownerships claimed through the key-value service.
    pub claims: u64,
    /// Ownerships taken over with a reserved epoch.
    pub takeovers: u64,
    /// Ownerships lost to a higher epoch.
    pub step_downs: u64,
    /// Primaries declared failed and replaced by a failover.
    pub primaries_lost: u64,
    /// Primaries promoted.
    pub promotions: u64,
    /// Offers of a database to its standby; a repeated offer counts again.
    pub handover_offers: u64,
    /// Calls to the key-value service.
    pub store_calls: u64,
    /// Calls to the key-value service that failed or timed out.
    pub store_failures: u64,
    /// Calls to database instances.
    pub group_calls: u64,
    /// Calls to database instances that failed or timed out.
    pub group_failures: u64,
    /// Configuration documents refused because they do not parse.
    pub configurations_refused: u64,
    /// Configuration documents ignored because their version is not higher than the one in force.
    pub configurations_stale: u64,
    /// Views published.
    pub views_published: u64,
    /// Pauses of this process that were long enough to make other hosts look silent.
    pub stalls: u64,
}
