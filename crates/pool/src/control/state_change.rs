//! Changes of belief, for the log.

use displaydoc::Display;

use crate::traffic::ReplicaState;

/// A change of what the proxy believes.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum StateChange {
    /// configuration version {version} is in force, in place of {former}
    Configuration {
        /// The version.
        version: u64,
        /// The version before.
        former: u64,
    },
    /// the item {key} in the store cannot be used: {reason}
    UnreadableItem {
        /// The key.
        key: String,
        /// Why.
        reason: String,
    },
    /// the store answers again after {silence_ms} ms
    StoreRegained {
        /// Time since the last answer.
        silence_ms: u64,
    },
    /// the store does not answer; the last answer is {silence_ms} ms old
    StoreLost {
        /// Time since the last answer.
        silence_ms: u64,
    },
    /// the store no longer has the history after revision {revision}; everything is read again
    HistoryLost {
        /// The revision.
        revision: u64,
    },
    /// proxy {name} is present, incarnation {incarnation}
    MemberFound {
        /// The proxy.
        name: String,
        /// Its incarnation.
        incarnation: u64,
    },
    /// proxy {name} is gone
    MemberLost {
        /// The proxy.
        name: String,
    },
    /// contact with a majority of {members} proxies is lost; primaries are not used
    PermitLost {
        /// Proxies of the fleet.
        members: usize,
    },
    /// contact with a majority of {members} proxies is regained
    PermitRegained {
        /// Proxies of the fleet.
        members: usize,
    },
    /// instance {instance} of {replica_set} is present, leaving: {is_leaving}
    InstanceFound {
        /// The instance.
        instance: String,
        /// Its replica set.
        replica_set: String,
        /// Whether it leaves.
        is_leaving: bool,
    },
    /// instance {instance} of {replica_set} has no entry; the directory names it
    InstanceRecalled {
        /// The instance.
        instance: String,
        /// Its replica set.
        replica_set: String,
    },
    /// instance {instance} of {replica_set} is gone
    InstanceGone {
        /// The instance.
        instance: String,
        /// Its replica set.
        replica_set: String,
    },
    /// {instance} leads {replica_set} in term {term}, according to {source}
    Primary {
        /// The replica set.
        replica_set: String,
        /// The instance.
        instance: String,
        /// Its term.
        term: u64,
        /// Where this comes from.
        source: &'static str,
    },
    /// no primary of {replica_set} is known: {reason}
    PrimaryUnknown {
        /// The replica set.
        replica_set: String,
        /// Why.
        reason: &'static str,
    },
    /// the primary {instance} of {replica_set} cannot be reached from here
    PrimaryLost {
        /// The replica set.
        replica_set: String,
        /// The instance.
        instance: String,
    },
    /// the primary {instance} of {replica_set} is reached again
    PrimaryRegained {
        /// The replica set.
        replica_set: String,
        /// The instance.
        instance: String,
    },
    /// replica {instance} of {replica_set} is {state} for reads; lag {lag_ms} ms, {failure_permille} permille fail
    Replica {
        /// The replica set.
        replica_set: String,
        /// The instance.
        instance: String,
        /// Whether it takes reads.
        state: ReplicaState,
        /// Age of what its log covered when it was last seen.
        lag_ms: String,
        /// Statements that fail there, in thousandths.
        failure_permille: u32,
    },
    /// the primary of {replica_set} is held: claim {fencing_token} of {holder} on term {term}
    PrimaryHeld {
        /// The replica set.
        replica_set: String,
        /// Fence of the claim.
        fencing_token: u64,
        /// The claimant.
        holder: String,
        /// Term that is replaced.
        term: u64,
    },
    /// proxy {proxy} uses the held primary of {replica_set} no longer; its last position is {position}
    ProxyStopped {
        /// The replica set.
        replica_set: String,
        /// The proxy.
        proxy: String,
        /// Last position that it saw there.
        position: String,
    },
    /// claiming the replacement of the primary of {replica_set} with fence {fencing_token}: {reason}
    Claiming {
        /// The replica set.
        replica_set: String,
        /// Fence of the claim.
        fencing_token: u64,
        /// Why.
        reason: &'static str,
    },
    /// the claim {fencing_token} on {replica_set} is dropped: {reason}
    ClaimDropped {
        /// The replica set.
        replica_set: String,
        /// Fence of the claim.
        fencing_token: u64,
        /// Why.
        reason: &'static str,
    },
    /// promoting {instance} of {replica_set} with fence {fencing_token}; it has received {received}
    Promoting {
        /// The replica set.
        replica_set: String,
        /// The instance.
        instance: String,
        /// Fence of the claim.
        fencing_token: u64,
        /// Last position that it has received.
        received: String,
    },
    /// the promotion call {fencing_token} for {replica_set} ended: {outcome}
    PromotionAnswer {
        /// The replica set.
        replica_set: String,
        /// Fence of the call.
        fencing_token: u64,
        /// How.
        outcome: String,
    },
    /// ready for new connections: {is_ready}
    Ready {
        /// Whether the process is ready.
        is_ready: bool,
    },
    /// stopping; idle sessions are closed in {close_idle_ms} ms
    Stopping {
        /// Time until idle sessions are closed.
        close_idle_ms: u64,
    },
}

impl StateChange {
    /// Short name for filters.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Configuration { .. } => "configuration",
            Self::UnreadableItem { .. } => "unreadable_item",
            Self::StoreRegained { .. } => "store_regained",
            Self::StoreLost { .. } => "store_lost",
            Self::HistoryLost { .. } => "history_lost",
            Self::MemberFound { .. } => "member_found",
            Self::MemberLost { .. } => "member_lost",
            Self::PermitLost { .. } => "permit_lost",
            Self::PermitRegained { .. } => "permit_regained",
            Self::InstanceFound { .. } => "instance_found",
            Self::InstanceRecalled { .. } => "instance_recalled",
            Self::InstanceGone { .. } => "instance_gone",
            Self::Primary { .. } => "primary",
            Self::PrimaryUnknown { .. } => "primary_unknown",
            Self::PrimaryLost { .. } => "primary_lost",
            Self::PrimaryRegained { .. } => "primary_regained",
            Self::Replica { .. } => "replica",
            Self::PrimaryHeld { .. } => "primary_held",
            Self::ProxyStopped { .. } => "proxy_stopped",
            Self::Claiming { .. } => "claiming",
            Self::ClaimDropped { .. } => "claim_dropped",
            Self::Promoting { .. } => "promoting",
            Self::PromotionAnswer { .. } => "promotion_answer",
            Self::Ready { .. } => "ready",
            Self::Stopping { .. } => "stopping",
        }
    }
}
