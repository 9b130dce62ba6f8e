//! Failovers that this proxy performs.

use std::collections::BTreeMap;

use bytes::Bytes;
use flamingorock_core::{Position, Term};

use super::failover_kind::FailoverKind;
use crate::InstanceStatus;

/// Stage of a failover.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Stage {
    /// The claim has been sent to the store.
    Claiming,
    /// The response to the claim was lost; the record is being read back.
    Verifying,
    /// Waits for the other proxies to stop using the old primary, and polls the candidates.
    Preparing,
    /// The promotion call is outstanding.
    Promoting { instance: Bytes },
    /// Polls the promoted instance until it is the primary.
    AwaitingPrimary { instance: Bytes, since_us: u64 },
}

/// A failover that this proxy has claimed.
#[derive(Clone, Debug)]
pub struct Failover {
    pub stage: Stage,
    pub fencing_token: u64,
    /// Revision of the claim in the store.
    pub revision: u64,
    /// When the claim was sent. The claim expires a fixed time later.
    pub claimed_us: u64,
    pub kind: FailoverKind,
    /// Term that ends with the failover.
    pub term: Term,
    /// Term that the promoted instance must exceed before it counts as the new primary. It may act
    /// as the primary of an earlier term until the promotion takes effect.
    pub former_term: Term,
    /// Primary that is replaced; `None` if none was known.
    pub old_primary: Option<Bytes>,
    /// Proxies that have confirmed that they stopped using the old primary.
    pub stopped_proxies: Vec<Bytes>,
    /// Newest epoch of the membership that one of these proxies knew.
    pub newest_epoch: u64,
    /// For each proxy, when one of the proxies that have stopped last had contact with it.
    pub last_heard_us: BTreeMap<Bytes, u64>,
    /// Highest log position that any proxy has observed at the old primary.
    pub last_position: Option<Position>,
    /// Latest status of each candidate.
    pub statuses: Vec<(Bytes, InstanceStatus)>,
    /// When the stage is processed next.
    pub next_step_us: u64,
    /// When instances may be polled next. A status response causes processing at once, but not
    /// another poll.
    pub next_poll_us: u64,
    /// Whether a call to the store for this failover is outstanding.
    pub is_calling_store: bool,
}
