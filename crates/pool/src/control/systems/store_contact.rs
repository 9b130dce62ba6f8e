//! Tracks whether the store responds to this proxy.

use super::super::tables::Tables;
use super::super::{StateChange, StoreOutcome, StoreResponse};

/// Time for which every call has failed after which the store counts as unreachable.
const UNREACHABLE_US: u64 = 1_300_000;

/// Concludes that the store is unreachable once calls have failed for long enough.
pub fn record_silence(tables: &mut Tables, now_us: u64) {
    let Some(failing_since_us) = tables.mirror.failing_since_us else { return };
    let silence_us = now_us.saturating_sub(failing_since_us);
    if silence_us > UNREACHABLE_US && !tables.mirror.is_store_unreachable {
        tables.mirror.is_store_unreachable = true;
        tables.changes.push(StateChange::StoreLost { silence_ms: silence_us / 1000 });
    }
}

/// What a response says about the contact with the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Contact {
    /// The store did not perform the call, or its response is missing.
    Failed,
    /// The store responds as before.
    Kept,
    /// The store responds again after calls that failed.
    Regained,
}

/// Records contact with the store. A refused call or one without a response does not count as
/// contact.
pub fn record_contact(tables: &mut Tables, response: &StoreResponse, now_us: u64) -> Contact {
    if matches!(response.outcome, StoreOutcome::Rejected | StoreOutcome::Unknown) {
        tables.mirror.failing_since_us.get_or_insert(now_us);
        return Contact::Failed;
    }
    let Some(failing_since_us) = tables.mirror.failing_since_us.take() else {
        return Contact::Kept;
    };
    let silence_us = now_us.saturating_sub(failing_since_us);
    if core::mem::take(&mut tables.mirror.is_store_unreachable) {
        tables.changes.push(StateChange::StoreRegained { silence_ms: silence_us / 1000 });
        tables.mirror.contact_since_us = now_us;
    }
    Contact::Regained
}
