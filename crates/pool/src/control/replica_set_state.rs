//! Replica sets as the control machine sees them.

use std::collections::BTreeMap;

use bytes::Bytes;
use flamingorock_core::Term;

use super::PromotionRecord;
use super::failover::Failover;
use super::known_primary::KnownPrimary;
use super::lag_check::LagCheck;
use crate::InstanceEntry;

/// An instance as the store describes it.
#[derive(Clone, Debug)]
pub struct KnownInstance {
    pub entry: InstanceEntry,
    /// Since when its entry is missing.
    pub missing_since_us: Option<u64>,
}

/// The newest promotion record and when it was first seen.
#[derive(Clone, Debug)]
pub struct KnownRecord {
    pub record: PromotionRecord,
    /// Highest revision of the record that was seen in the store, 0 if none was. The store may have
    /// an older record than another proxy has told.
    pub revision: u64,
    pub seen_us: u64,
}

/// The end of an own replacement that the store does not have yet.
#[derive(Clone, Debug)]
pub struct UnwrittenRecord {
    pub record: PromotionRecord,
    /// Revision of the claim, which must be unchanged.
    pub revision: u64,
    pub next_us: u64,
    pub is_writing: bool,
}

/// A replica set.
#[derive(Debug)]
pub struct ReplicaSetState {
    pub instances: BTreeMap<Bytes, KnownInstance>,
    pub known_primary: KnownPrimary,
    pub record: Option<KnownRecord>,
    /// Highest fence that another proxy has reported.
    pub reported_fencing_token: u64,
    /// Last sign of life of the primary, and since when it is lost.
    pub heard_us: u64,
    pub lost_since_us: Option<u64>,
    /// When the traffic thread reported that a held primary is quiet, with the term.
    pub quiet_term: Option<Term>,
    pub last_position: Option<flamingorock_core::Position>,
    pub failover: Option<Failover>,
    pub unwritten: Option<UnwrittenRecord>,
    /// Fence of a claim and the instance that its holder promotes.
    pub announced_promotion: Option<(u64, Bytes)>,
    /// What the replicas of a congested set say, while that is looked into.
    pub lag_check: Option<LagCheck>,
    /// When instances are asked next whether they lead.
    pub search_us: u64,
    /// When the primary may be replaced at the earliest, so that proxies claim one after the other.
    pub claim_us: Option<u64>,
    /// Smoothed time from a claim to the next primary.
    pub failover_duration_us: u64,
}

/// Time from a claim to the next primary that is assumed before one has been seen.
const ASSUMED_FAILOVER_US: u64 = 1_200_000;

impl ReplicaSetState {
    pub fn new(now_us: u64) -> Self {
        Self {
            instances: BTreeMap::new(),
            known_primary: KnownPrimary::Unknown { since_us: now_us },
            record: None,
            reported_fencing_token: 0,
            heard_us: 0,
            lost_since_us: None,
            quiet_term: None,
            last_position: None,
            failover: None,
            unwritten: None,
            announced_promotion: None,
            lag_check: None,
            search_us: 0,
            claim_us: None,
            failover_duration_us: ASSUMED_FAILOVER_US,
        }
    }

    /// The primary and its term, if one is believed to lead.
    pub fn primary(&self) -> Option<(&Bytes, Term)> {
        match &self.known_primary {
            KnownPrimary::Unknown { .. } => None,
            KnownPrimary::Leader { instance, term } => Some((instance, *term)),
        }
    }

    /// Term of the primary, 0 if none is known.
    pub fn term(&self) -> Term {
        self.primary().map(|(_, term)| term).unwrap_or_default()
    }

    /// Highest fence that is known.
    pub fn fencing_token(&self) -> u64 {
        let own = self.record.as_ref().map_or(0, |known| known.record.fencing_token);
        own.max(self.reported_fencing_token)
    }

    /// The claim that holds the primary, if there is one.
    pub fn claim(&self) -> Option<&KnownRecord> {
        self.record.as_ref().filter(|known| known.record.is_claimed())
    }

    /// Whether a claim exists that this proxy has only heard of.
    pub fn has_unseen_claim(&self) -> bool {
        self.reported_fencing_token
            > self.record.as_ref().map_or(0, |known| known.record.fencing_token)
    }

    /// Whether the primary is held by a claim.
    pub fn is_held(&self) -> bool {
        self.claim().is_some() || self.has_unseen_claim()
    }
}
