//! Entry side: routing of requests to the owners of their databases.

use crate::message::{ExecuteRequest, TrafficMessage};
use crate::traffic::caller::SessionTransaction;
use crate::traffic::entry_request::EntryState;
use crate::traffic::tables::Tables;
use crate::{HostId, RequestKey};

/// Initial delay before a request is routed again; it doubles with each further attempt.
const ROUTE_RETRY_US: u64 = 10_000;
/// Maximum delay before a request is routed again.
const ROUTE_RETRY_LIMIT_US: u64 = 100_000;

/// Time after a request's deadline for which the entry proxy waits for the owner's response. The
/// owner allows 200 ms for a cancelled statement to end and another 200 ms for its confirmation;
/// the rest covers two network hops.
const OWNER_GRACE_US: u64 = 500_000;

/// Time for which the entry proxy waits for a former owner's response once a new owner is known.
const FORMER_OWNER_GRACE_US: u64 = 200_000;

/// Sends all requests that are due to the owners of their databases.
pub(crate) fn route<P>(tables: &mut Tables<P>) {
    for key in std::mem::take(&mut tables.unrouted) {
        match next_hop(tables, key) {
            Hop::Owner(owner) => send_to_owner(tables, key, owner),
            Hop::Unknown => await_owner(tables, key),
            Hop::Ended => {}
        }
    }
}

enum Hop {
    /// Send the request to this owner.
    Owner(HostId),
    /// No owner is known.
    Unknown,
    /// The request has already ended.
    Ended,
}

fn next_hop<P>(tables: &Tables<P>, key: RequestKey) -> Hop {
    let request = tables.requests.get(key);
    let Some(caller) = request.and_then(|request| tables.callers.get(request.caller)) else {
        return Hop::Ended;
    };
    if let SessionTransaction::Open { owner, .. } = caller.transaction {
        return Hop::Owner(owner);
    }
    match tables.view.owner_of(caller.database) {
        Some(route) => Hop::Owner(route.owner),
        None => Hop::Unknown,
    }
}

fn send_to_owner<P>(tables: &mut Tables<P>, key: RequestKey, owner: HostId) {
    let Some(request) = tables.requests.get_mut(key) else { return };
    let Some(caller) = tables.callers.get(request.caller) else { return };
    let transaction = match caller.transaction {
        SessionTransaction::Open { key, .. } => Some(key),
        SessionTransaction::None | SessionTransaction::Lost => None,
    };
    let execute = ExecuteRequest {
        request: key,
        entry_thread: tables.config.thread,
        database: caller.database,
        kind: request.request.kind,
        rank: request.request.rank,
        remaining_us: request.deadline_us.saturating_sub(tables.now_us),
        max_staleness_us: request.request.max_staleness_us,
        min_position: caller.min_position,
        transaction,
        payload: request.request.payload.clone(),
    };
    request.state = EntryState::Sent { owner };
    let expires_us = request.deadline_us + OWNER_GRACE_US;
    set_expiry(tables, key, expires_us);
    shorten_wait_for_former_owner(tables, key);
    tables.send(owner, TrafficMessage::Execute(execute));
}

fn set_expiry<P>(tables: &mut Tables<P>, key: RequestKey, expires_us: u64) {
    let Some(request) = tables.requests.get_mut(key) else { return };
    tables.request_deadlines.remove(request.expires_us, key);
    request.expires_us = expires_us;
    tables.request_deadlines.insert(expires_us, key);
}

/// Shortens the wait for a response if the host that the request was sent to is no longer the
/// owner.
pub(super) fn shorten_wait_for_former_owner<P>(tables: &mut Tables<P>, key: RequestKey) {
    let Some(request) = tables.requests.get(key) else { return };
    let Some(caller) = tables.callers.get(request.caller) else { return };
    let EntryState::Sent { owner } = request.state else { return };
    let route = tables.view.owner_of(caller.database);
    if route.is_some_and(|route| route.owner != owner) {
        let expires_us = request.expires_us.min(tables.now_us + FORMER_OWNER_GRACE_US);
        set_expiry(tables, key, expires_us);
    }
}

/// Schedules another routing attempt for a request that has not run, or for a read to retry.
pub(super) fn await_owner<P>(tables: &mut Tables<P>, key: RequestKey) {
    let Some(request) = tables.requests.get_mut(key) else { return };
    let wait_us = (ROUTE_RETRY_US << request.routing_attempts.min(8)).min(ROUTE_RETRY_LIMIT_US);
    let retry_us = tables.now_us + wait_us;
    request.routing_attempts += 1;
    request.state = EntryState::AwaitingOwner { retry_us };
    let deadline_us = request.deadline_us;
    set_expiry(tables, key, deadline_us);
    tables.route_retries.insert(retry_us, key);
}
