//! Replacements of primaries that this proxy carries out.

use std::collections::BTreeMap;

use bytes::Bytes;
use flamingorock_core::{Position, Term};

use super::failover_kind::FailoverKind;
use crate::InstanceStatus;

/// Step of a replacement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Stage {
    /// The claim has been sent to the store.
    Claiming,
    /// The answer to the claim was lost; the record is read back.
    Verifying,
    /// Waits for the other proxies to stop and asks the candidates.
    Preparing,
    /// The promotion call is outstanding.
    Promoting { instance: Bytes },
    /// Waits for the instance to lead.
    AwaitingPrimary { instance: Bytes, since_us: u64 },
}

/// A replacement.
#[derive(Clone, Debug)]
pub struct Failover {
    pub stage: Stage,
    pub fencing_token: u64,
    /// Revision of the claim in the store.
    pub revision: u64,
    /// When the claim was sent; it may be acted on for a bounded time from then.
    pub claimed_us: u64,
    pub kind: FailoverKind,
    /// Term that is replaced.
    pub term: Term,
    /// Primary that is replaced.
    pub former: Option<Bytes>,
    /// Proxies that have stopped using the old primary.
    pub stopped_proxies: Vec<Bytes>,
    /// When each proxy was last heard by one of those that have stopped.
    pub heard_us: BTreeMap<Bytes, u64>,
    /// Last position that any of them saw there.
    pub last_position: Option<Position>,
    /// Reports of the candidates.
    pub statuses: Vec<(Bytes, InstanceStatus)>,
    /// When the stage is looked at next.
    pub next_us: u64,
    /// When instances may be asked next. An answer leads to a look at once, but not to a question.
    pub ask_us: u64,
    /// Whether a store call of this replacement is outstanding.
    pub is_writing: bool,
}
