//! State changes that the control machine writes to the log.

use displaydoc::Display;

use crate::traffic::ReplicaState;

/// A state change of the control machine. The doc comment of a variant is its log message.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum StateChange {
    /// configuration version {version} is in force, in place of {former}
    Configuration {
        /// Version that came into force.
        version: u64,
        /// Version that was in force before, 0 if none was.
        former: u64,
    },
    /// the item {key} in the store cannot be decoded: {reason}
    UnreadableItem {
        /// Kind of the item, with its name.
        key: String,
        /// Why decoding failed.
        reason: String,
    },
    /// the store is reachable again after {silence_ms} ms
    StoreRegained {
        /// Time since the previous response.
        silence_ms: u64,
    },
    /// the store is unreachable; the last response is {silence_ms} ms old
    StoreLost {
        /// Time since the last response.
        silence_ms: u64,
    },
    /// the store no longer has the changes after revision {revision}; all items are read again
    HistoryLost {
        /// Last revision that this proxy has read.
        revision: u64,
    },
    /// proxy {name} is present, incarnation {incarnation}
    MemberFound {
        /// Name of the proxy.
        name: String,
        /// Incarnation that it registered or sent.
        incarnation: u64,
    },
    /// proxy {name} is gone
    MemberLost {
        /// Name of the proxy.
        name: String,
    },
    /// contact with a majority of {members} members is lost in epoch {epoch}; primaries are not used; the membership was current {read_ms} ms ago
    PermitLost {
        /// Number of members in the membership record.
        members: usize,
        /// Epoch of the membership.
        epoch: u64,
        /// Time since no newer membership is known to have existed.
        read_ms: u64,
    },
    /// contact with a majority of {members} members is regained in epoch {epoch}; the membership was current {read_ms} ms ago
    PermitRegained {
        /// Number of members in the membership record.
        members: usize,
        /// Epoch of the membership.
        epoch: u64,
        /// Time since no newer membership is known to have existed.
        read_ms: u64,
    },
    /// membership epoch {epoch} has {members} members and {outgoing} outgoing ones, suspended: {is_suspended}, this proxy included: {is_member}, according to {source}
    Membership {
        /// Epoch of the membership.
        epoch: u64,
        /// Number of members.
        members: usize,
        /// Number of members before a change that is in progress.
        outgoing: usize,
        /// Whether no decision may be taken under it.
        is_suspended: bool,
        /// Whether this proxy is a member.
        is_member: bool,
        /// Where the information comes from.
        source: &'static str,
    },
    /// proposing membership epoch {epoch}: {reason}; joining: {joining}; leaving: {leaving}
    MembershipProposed {
        /// Epoch of the proposed membership.
        epoch: u64,
        /// Why the membership changes.
        reason: &'static str,
        /// Names of the proxies that become members.
        joining: String,
        /// Names of the proxies that are no longer members.
        leaving: String,
    },
    /// membership epoch {epoch} is not used: {defect}
    MembershipInvalid {
        /// Epoch that the record names.
        epoch: u64,
        /// Why it cannot be a membership.
        defect: &'static str,
    },
    /// instance {instance} of {replica_set} is present, leaving: {is_leaving}
    InstanceFound {
        /// Id of the instance.
        instance: String,
        /// Replica set that the instance belongs to.
        replica_set: String,
        /// Whether the instance is about to stop.
        is_leaving: bool,
    },
    /// instance {instance} of {replica_set} has no entry and is restored from the directory record
    InstanceRecalled {
        /// Id of the instance.
        instance: String,
        /// Replica set whose record names the instance.
        replica_set: String,
    },
    /// instance {instance} of {replica_set} is gone
    InstanceGone {
        /// Id of the instance.
        instance: String,
        /// Replica set that the instance belonged to.
        replica_set: String,
    },
    /// {instance} is the primary of {replica_set} in term {term}, according to {source}
    Primary {
        /// Name of the replica set.
        replica_set: String,
        /// Id of the new primary.
        instance: String,
        /// Term of the new primary.
        term: u64,
        /// Where the information comes from.
        source: &'static str,
    },
    /// no primary of {replica_set} is known: {reason}
    PrimaryUnknown {
        /// Name of the replica set.
        replica_set: String,
        /// Why the previous primary is not used any more.
        reason: &'static str,
    },
    /// the primary {instance} of {replica_set} is unreachable from this proxy
    PrimaryLost {
        /// Name of the replica set.
        replica_set: String,
        /// Id of the primary.
        instance: String,
    },
    /// the primary {instance} of {replica_set} is reachable again
    PrimaryRegained {
        /// Name of the replica set.
        replica_set: String,
        /// Id of the primary.
        instance: String,
    },
    /// replica {instance} of {replica_set} is {state} for reads; lag {lag_ms} ms, {failure_permille} permille fail
    Replica {
        /// Name of the replica set.
        replica_set: String,
        /// Id of the replica.
        instance: String,
        /// Whether the traffic thread uses the replica for reads.
        state: ReplicaState,
        /// Lag at the last contact in milliseconds, or `unknown`.
        lag_ms: String,
        /// Statements that fail there, per thousand.
        failure_permille: u32,
    },
    /// the primary of {replica_set} is being replaced: claim {fencing_token} of {holder} on term {term}
    PrimaryHeld {
        /// Name of the replica set.
        replica_set: String,
        /// Fencing token of the claim.
        fencing_token: u64,
        /// Proxy that holds the claim.
        holder: String,
        /// Term that ends with the failover.
        term: u64,
    },
    /// proxy {proxy} has stopped using the old primary of {replica_set}; its last position is {position}
    ProxyStopped {
        /// Name of the replica set.
        replica_set: String,
        /// Proxy that has stopped.
        proxy: String,
        /// Last log position that the proxy observed there.
        position: String,
    },
    /// claiming the failover of {replica_set} with fencing token {fencing_token}: {reason}
    Claiming {
        /// Name of the replica set.
        replica_set: String,
        /// Fencing token of the claim.
        fencing_token: u64,
        /// Why a failover is necessary.
        reason: &'static str,
    },
    /// claim {fencing_token} on {replica_set} is dropped: {reason}
    ClaimDropped {
        /// Name of the replica set.
        replica_set: String,
        /// Fencing token of the claim.
        fencing_token: u64,
        /// Why this proxy does not continue.
        reason: &'static str,
    },
    /// promoting {instance} of {replica_set} with fencing token {fencing_token}; it has received {received}
    Promoting {
        /// Name of the replica set.
        replica_set: String,
        /// Id of the candidate.
        instance: String,
        /// Fencing token of the claim.
        fencing_token: u64,
        /// Last log position that the candidate has received.
        received: String,
    },
    /// the promotion call with fencing token {fencing_token} for {replica_set} ended: {outcome}
    PromotionAnswer {
        /// Name of the replica set.
        replica_set: String,
        /// Fencing token that the call was sent with.
        fencing_token: u64,
        /// How the call ended.
        outcome: String,
    },
    /// ready for new connections: {is_ready}
    Ready {
        /// New state of the readiness check.
        is_ready: bool,
    },
    /// stopping; idle sessions are closed in {close_idle_ms} ms
    Stopping {
        /// Time until sessions without an open transaction are closed.
        close_idle_ms: u64,
    },
}

impl StateChange {
    /// Name of the event in the log, for filters.
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
            Self::Membership { .. } => "membership",
            Self::MembershipProposed { .. } => "membership_proposed",
            Self::MembershipInvalid { .. } => "membership_invalid",
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
