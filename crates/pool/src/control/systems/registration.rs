//! Keeps this proxy's member record in the store, bound to a lease.

use super::super::tables::Tables;
use super::super::{MemberRecord, StoreCall, StoreOutcome, StoreResponse};

/// Lifetime of the record without renewals. Proxies that have lost power count as part of the fleet
/// until it ends, and using a primary requires contact with a majority of the fleet.
const TTL_MS: u64 = 2_500;
/// Interval between renewals. They also show whether the store responds.
const RENEW_US: u64 = 800_000;
/// Time after which a call is abandoned.
const CALL_TIMEOUT_US: u64 = 700_000;
/// Delay after a failed call; it doubles with each failure.
const RETRY_US: u64 = 200_000;
/// Upper limit of the delay after failed calls.
const RETRY_MAX_US: u64 = 1_600_000;

pub fn run(tables: &mut Tables, now_us: u64) {
    let registration = &tables.registration;
    if registration.is_calling || now_us < registration.next_call_us || tables.stopping.is_some() {
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
    tables.call_store(call, now_us + CALL_TIMEOUT_US);
}

pub fn response_received(tables: &mut Tables, response: StoreResponse, now_us: u64) {
    let registration = &mut tables.registration;
    registration.is_calling = false;
    let failures = core::mem::take(&mut registration.failures);
    match (&response.call, response.outcome) {
        (StoreCall::GrantLease { .. }, StoreOutcome::Lease { lease }) => {
            registration.lease = Some(lease);
            registration.is_written = false;
            registration.next_call_us = now_us;
        }
        (StoreCall::WriteMember { .. }, StoreOutcome::Written { .. }) => {
            registration.is_written = true;
            registration.next_call_us = now_us + RENEW_US;
        }
        (StoreCall::RenewLease { .. }, StoreOutcome::Lease { .. }) => {
            registration.next_call_us = now_us + RENEW_US;
        }
        (_, StoreOutcome::LeaseExpired) => {
            *registration = Default::default();
            registration.next_call_us = now_us;
        }
        _ => {
            registration.failures = failures + 1;
            registration.next_call_us = now_us + (RETRY_US << failures.min(3)).min(RETRY_MAX_US);
        }
    }
    run(tables, now_us);
}

/// Registers again after the record was removed. The lease may have appeared valid until then.
pub fn member_record_removed(tables: &mut Tables) {
    let is_calling = tables.registration.is_calling;
    tables.registration = Default::default();
    tables.registration.is_calling = is_calling;
}
