//! Replica sets in the tables of the control machine.

use std::collections::BTreeMap;

use bytes::Bytes;
use flamingorock_core::Term;

use super::PromotionRecord;
use super::failover::Failover;
use super::known_primary::KnownPrimary;
use super::lag_check::LagCheck;
use crate::InstanceEntry;

/// An instance that has an entry in the store, or had one recently.
#[derive(Clone, Debug)]
pub struct KnownInstance {
    pub entry: InstanceEntry,
    /// Since when the entry is missing, `None` while the store has it.
    pub missing_since_us: Option<u64>,
}

/// The newest known promotion record.
#[derive(Clone, Debug)]
pub struct KnownRecord {
    pub record: PromotionRecord,
    /// Highest revision of the record that was read from the store, 0 if none. The record itself
    /// may be newer than that revision if another proxy sent it.
    pub revision: u64,
    pub seen_us: u64,
}

/// A promotion call that the holder of a claim has announced.
#[derive(Clone, Debug)]
pub struct AnnouncedPromotion {
    pub fencing_token: u64,
    pub instance: Bytes,
    /// Term that the instance must exceed before it counts as the new primary.
    pub former_term: Term,
}

/// The first call of this proxy that claimed with a fencing token.
#[derive(Clone, Copy, Debug)]
pub struct ClaimAttempt {
    pub fencing_token: u64,
    pub sent_us: u64,
}

/// Completion of a failover that this proxy still has to write to the store.
#[derive(Clone, Debug)]
pub struct UnwrittenRecord {
    pub record: PromotionRecord,
    /// Revision of the claim, which the write requires to be unchanged.
    pub revision: u64,
    pub next_us: u64,
    pub is_writing: bool,
}

/// The part of a replica set's state that heartbeats report and that changes only with an event.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReportedState {
    pub fencing_token: u64,
    pub term: Term,
    pub is_primary_unreachable: bool,
}

/// A position that this proxy has seen at the primary.
#[derive(Clone, Copy, Debug)]
pub struct PrimarySample {
    /// When the command was sent that returned the position.
    pub at_us: u64,
    pub position: flamingorock_core::Position,
}

/// A replica set.
#[derive(Debug)]
pub struct ReplicaSetState {
    pub instances: BTreeMap<Bytes, KnownInstance>,
    pub known_primary: KnownPrimary,
    pub record: Option<KnownRecord>,
    /// Highest fencing token that another proxy has reported.
    pub reported_fencing_token: u64,
    /// Last contact with the primary, and since when the primary is unreachable.
    pub primary_seen_us: u64,
    pub unreachable_since_us: Option<u64>,
    /// Term of the old primary that the traffic thread no longer uses because of a failover.
    pub quiesced_term: Option<Term>,
    pub last_position: Option<flamingorock_core::Position>,
    pub failover: Option<Failover>,
    pub unwritten_record: Option<UnwrittenRecord>,
    /// What the holder of a claim promotes.
    pub announced_promotion: Option<AnnouncedPromotion>,
    /// Status of the replicas while the primary is congested.
    pub lag_check: Option<LagCheck>,
    /// Time of the next poll for an unknown primary.
    pub next_search_us: u64,
    /// Time from which this proxy may claim the failover. Proxies claim at staggered times.
    pub claim_due_us: Option<u64>,
    /// This proxy's latest claim.
    pub claim_attempt: Option<ClaimAttempt>,
    /// Moving average of the time from a claim to the new primary.
    pub failover_duration_us: u64,
    /// What heartbeats report at present, and the version that it was given.
    pub reported_state: ReportedState,
    pub changed_version: u64,
    /// When this proxy learned of the present primary.
    pub primary_since_us: u64,
    /// Last position that this proxy has seen at the present primary.
    pub sample: Option<PrimarySample>,
    /// Time of the newest position that the traffic thread knows.
    pub sampled_us: u64,
    /// Until when to report on the set because another proxy could not reach its primary.
    pub suspected_until_us: u64,
}

/// Initial value of `failover_duration_us`, before a failover has been observed.
const ASSUMED_FAILOVER_US: u64 = 1_200_000;

impl ReplicaSetState {
    pub fn new(now_us: u64) -> Self {
        Self {
            instances: BTreeMap::new(),
            known_primary: KnownPrimary::Unknown { since_us: now_us },
            record: None,
            reported_fencing_token: 0,
            primary_seen_us: 0,
            unreachable_since_us: None,
            quiesced_term: None,
            last_position: None,
            failover: None,
            unwritten_record: None,
            announced_promotion: None,
            lag_check: None,
            next_search_us: 0,
            claim_due_us: None,
            claim_attempt: None,
            failover_duration_us: ASSUMED_FAILOVER_US,
            reported_state: ReportedState::default(),
            changed_version: 0,
            primary_since_us: 0,
            sample: None,
            sampled_us: 0,
            suspected_until_us: 0,
        }
    }

    /// Sets the primary. What was observed at another one no longer counts.
    pub fn set_primary(&mut self, instance: Bytes, term: Term, now_us: u64) {
        self.known_primary = KnownPrimary::Leader { instance, term };
        self.unreachable_since_us = None;
        self.primary_since_us = now_us;
        self.sample = None;
    }

    /// The primary and its term, if they are known.
    pub fn primary(&self) -> Option<(&Bytes, Term)> {
        match &self.known_primary {
            KnownPrimary::Unknown { .. } => None,
            KnownPrimary::Leader { instance, term } => Some((instance, *term)),
        }
    }

    /// Term of the primary, 0 if no primary is known.
    pub fn term(&self) -> Term {
        self.primary().map(|(_, term)| term).unwrap_or_default()
    }

    /// Newest term that this proxy knows of, also from the record of a failover that is not complete.
    pub fn newest_term(&self) -> Term {
        let record = self.record.as_ref().map(|known| known.record.state.term());
        self.term().max(record.unwrap_or_default())
    }

    /// Highest known fencing token.
    pub fn fencing_token(&self) -> u64 {
        let own = self.record.as_ref().map_or(0, |known| known.record.fencing_token);
        own.max(self.reported_fencing_token)
    }

    /// The claim of a failover in progress, if this proxy has its record.
    pub fn claim(&self) -> Option<&KnownRecord> {
        self.record.as_ref().filter(|known| known.record.is_claimed())
    }

    /// Whether another proxy has reported a later claim than the one of the known record.
    pub fn has_unseen_claim(&self) -> bool {
        self.reported_fencing_token
            > self.record.as_ref().map_or(0, |known| known.record.fencing_token)
    }

    /// Whether a failover is in progress, so that the primary must not be used.
    pub fn is_replacing(&self) -> bool {
        self.claim().is_some() || self.has_unseen_claim()
    }
}
