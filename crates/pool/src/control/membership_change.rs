//! Proposed changes of the membership.

use super::MembershipRecord;

/// A change of the membership record, and why it is made.
#[derive(Debug)]
pub struct MembershipChange {
    pub record: MembershipRecord,
    pub reason: &'static str,
}
