//! Entry side: from a request to the owner of its database.

use crate::message::{ExecuteRequest, TrafficMessage};
use crate::traffic::caller::SessionTransaction;
use crate::traffic::entry_request::EntryState;
use crate::traffic::tables::Tables;
use crate::{HostId, RequestKey};

/// First and longest wait before a request is routed again.
const ROUTE_RETRY_US: u64 = 10_000;
const ROUTE_RETRY_LIMIT_US: u64 = 100_000;

/// Time after a request's deadline that the entry proxy waits for the owner's word. The owner gives a
/// cancelled statement 200 ms to end and its confirmation another 200 ms, and two hops are on the way.
const OWNER_GRACE_US: u64 = 500_000;

/// Time that a former owner gets for an answer after another owner has become known.
const FORMER_OWNER_GRACE_US: u64 = 200_000;

/// Sends every request that is due to the owner of its database.
pub(crate) fn route<P>(tables: &mut Tables<P>) {
    for key in std::mem::take(&mut tables.unrouted) {
        match next_hop(tables, key) {
            Hop::Owner(owner) => send_to_owner(tables, key, owner),
            Hop::Unknown => await_owner(tables, key),
            Hop::Gone => {}
        }
    }
}

enum Hop {
    /// The owner to send the request to.
    Owner(HostId),
    /// The owner is not known.
    Unknown,
    /// The request has ended.
    Gone,
}

fn next_hop<P>(tables: &Tables<P>, key: RequestKey) -> Hop {
    let request = tables.requests.get(key);
    let Some(caller) = request.and_then(|request| tables.callers.get(request.caller)) else {
        return Hop::Gone;
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

/// Shortens the wait for an answer if the host that has the request is no longer the owner.
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

/// Leaves a request that certainly has not run for a later routing attempt.
pub(super) fn await_owner<P>(tables: &mut Tables<P>, key: RequestKey) {
    let Some(request) = tables.requests.get_mut(key) else { return };
    let wait_us = (ROUTE_RETRY_US << request.attempts.min(8)).min(ROUTE_RETRY_LIMIT_US);
    let retry_us = tables.now_us + wait_us;
    request.attempts += 1;
    request.state = EntryState::AwaitingOwner { retry_us };
    let deadline_us = request.deadline_us;
    set_expiry(tables, key, deadline_us);
    tables.route_retries.insert(retry_us, key);
}
