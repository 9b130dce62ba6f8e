//! The agreed membership of the fleet, as it stands in the store.

use std::collections::BTreeSet;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// The proxies whose majorities decide. A proxy writes it on the condition that the previous record
/// is unchanged; each record has a higher epoch.
///
/// A change of the members passes through a record with both the old and the new members, under
/// which every decision needs a majority of each (joint consensus).
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct MembershipRecord {
    /// Number of the record, one higher with each change.
    pub epoch: u64,
    /// Names of the members, in ascending order.
    pub members: Vec<Bytes>,
    /// The members before a change that is not complete; empty outside of one.
    pub outgoing: Vec<Bytes>,
    /// Whether no decision may be taken under this record. A proxy that reaches no majority suspends
    /// the membership before it continues with those that are left.
    pub is_suspended: bool,
}

impl MembershipRecord {
    /// Largest number of members that a record may have.
    pub const MAX_MEMBERS: usize = 4_096;

    /// Why the record cannot be a membership, if it cannot.
    #[must_use]
    pub fn defect(&self) -> Option<&'static str> {
        let is_sorted = |names: &[Bytes]| names.is_sorted_by(|a, b| a < b);
        if self.members.is_empty() {
            Some("it has no members")
        } else if self.members.len().max(self.outgoing.len()) > Self::MAX_MEMBERS {
            Some("it has too many members")
        } else if !is_sorted(&self.members) || !is_sorted(&self.outgoing) {
            Some("its members are not in ascending order, each once")
        } else {
            None
        }
    }

    /// The groups of which every decision needs a majority.
    pub fn groups(&self) -> impl Iterator<Item = &[Bytes]> {
        let outgoing = Some(self.outgoing.as_slice()).filter(|names| !names.is_empty());
        core::iter::once(self.members.as_slice()).chain(outgoing)
    }

    /// All members, those before a change included.
    #[must_use]
    pub fn names(&self) -> BTreeSet<&Bytes> {
        self.members.iter().chain(&self.outgoing).collect()
    }

    /// Whether a proxy is a member, or was one before the change in progress.
    #[must_use]
    pub fn contains(&self, name: &Bytes) -> bool {
        self.groups().any(|group| group.binary_search(name).is_ok())
    }

    /// Whether a change of the members is in progress.
    #[must_use]
    pub fn is_joint(&self) -> bool {
        !self.outgoing.is_empty()
    }

    /// Earliest of the latest times that a majority of every group has reached, where `time_us`
    /// gives the time of a member and 0 stands for none.
    #[must_use]
    pub fn majority_time_us(&self, time_us: impl Fn(&Bytes) -> u64) -> Option<u64> {
        let group_time_us = |group: &[Bytes]| {
            let mut times: Vec<u64> = group.iter().map(&time_us).collect();
            let first_us = times.first().copied()?;
            times.sort_unstable_by(|a, b| b.cmp(a));
            let majority_us = times[group.len() / 2];
            // Of an even number, half is enough if the first member is among it: two halves cannot
            // both have it.
            match group.len() % 2 {
                0 => Some(majority_us.max(first_us.min(times[group.len() / 2 - 1]))),
                _ => Some(majority_us),
            }
        };
        self.groups().filter_map(group_time_us).min().filter(|time_us| *time_us > 0)
    }

    /// Whether the members that match are a majority of every group.
    #[must_use]
    pub fn is_majority(&self, is_counted: impl Fn(&Bytes) -> bool) -> bool {
        self.majority_time_us(|name| u64::from(is_counted(name))).is_some()
    }
}
