//! Keeps this proxy's record in the store, bound to a lease.

use super::super::tables::Tables;
use super::super::{MemberRecord, StoreAnswer, StoreCall, StoreOutcome};

/// Time after which a record disappears that is not renewed. Proxies that have lost power count as
/// part of the fleet until then, and a majority of it is needed to use primaries.
const TTL_MS: u64 = 2_500;
/// Interval of renewals.
const KEEP_US: u64 = 800_000;
/// Time after which a call is given up.
const TIMEOUT_US: u64 = 700_000;
/// Delay after a failed call.
const BACKOFF_US: u64 = 200_000;

pub fn run(tables: &mut Tables, now_us: u64) {
    let registration = &tables.registration;
    if registration.is_calling || now_us < registration.next_us || tables.stopping.is_some() {
        return;
    }
    let call = match registration.lease {
        None => StoreCall::GrantLease { ttl_ms: TTL_MS },
        Some(lease) if !registration.is_written => StoreCall::WriteMember {
            name: tables.config.name.clone(),
            record: MemberRecord {
                peer_address: tables.config.peer_address,
                incarnation: tables.config.incarnation,
            },
            lease,
        },
        Some(lease) => StoreCall::RenewLease { lease },
    };
    tables.registration.is_calling = true;
    tables.call_store(call, now_us + TIMEOUT_US);
}

pub fn answered(tables: &mut Tables, answer: StoreAnswer, now_us: u64) {
    let registration = &mut tables.registration;
    registration.is_calling = false;
    match (&answer.call, answer.outcome) {
        (StoreCall::GrantLease { .. }, StoreOutcome::Lease { lease }) => {
            registration.lease = Some(lease);
            registration.is_written = false;
            registration.next_us = now_us;
        }
        (StoreCall::WriteMember { .. }, StoreOutcome::Written { .. }) => {
            registration.is_written = true;
            registration.next_us = now_us + KEEP_US;
        }
        (StoreCall::RenewLease { .. }, StoreOutcome::Lease { .. }) => {
            registration.next_us = now_us + KEEP_US;
        }
        (_, StoreOutcome::LeaseExpired) => {
            *registration = Default::default();
            registration.next_us = now_us;
        }
        _ => registration.next_us = now_us + BACKOFF_US,
    }
    run(tables, now_us);
}

/// The record has disappeared, although the lease may have seemed to hold.
pub fn lost(tables: &mut Tables) {
    let is_calling = tables.registration.is_calling;
    tables.registration = Default::default();
    tables.registration.is_calling = is_calling;
}
