//! Entry side: from a caller's request to the owner of its database.

use crate::message::{ExecuteRequest, Outcome, TrafficMessage};
use crate::traffic::caller::SessionTransaction;
use crate::traffic::entry_request::{EntryRequest, EntryState};
use crate::traffic::tables::Tables;
use crate::traffic::{Action, CallerRequest};
use crate::{
    CallerKey, DatabaseId, HostId, RequestKey, ResultCode, StatementKind, TransactionStatus,
};

/// First and longest wait before a request is routed again.
const ROUTE_RETRY_US: u64 = 10_000;
const ROUTE_RETRY_LIMIT_US: u64 = 100_000;

/// Time after a request's deadline that the entry proxy waits for the owner's word. The owner gives a
/// cancelled statement 200 ms to end and its confirmation another 200 ms, and two hops are on the way.
const OWNER_GRACE_US: u64 = 500_000;

/// Time that a former owner gets for an answer after another owner has become known.
const FORMER_OWNER_GRACE_US: u64 = 200_000;

/// Decides whether a new caller may connect.
pub(crate) fn admit_caller<P>(tables: &Tables<P>, id: DatabaseId) -> Result<(), ResultCode> {
    let configuration = &tables.view.configuration;
    if tables.view.draining {
        return Err(ResultCode::ShuttingDown);
    }
    if configuration.version == 0 {
        return Err(ResultCode::NoConfiguration);
    }
    let database = configuration.database(id).ok_or(ResultCode::UnknownDatabase)?;
    let limit = configuration.service_of(database).callers_limit;
    let connected = tables.callers.iter().filter(|(_, caller)| {
        let other = configuration.database(caller.database);
        other.is_some_and(|other| other.service_index == database.service_index)
    });
    if connected.count() >= limit as usize {
        return Err(ResultCode::TooManyCallers);
    }
    Ok(())
}

/// Takes a caller's request into the table, or refuses it.
pub(crate) fn accept_request<P>(
    tables: &mut Tables<P>,
    caller_key: CallerKey,
    request: CallerRequest,
) {
    let Some(caller) = tables.callers.get_mut(caller_key) else { return };
    debug_assert!(caller.in_flight.is_none(), "a caller has one request in flight at most");
    if caller.transaction == SessionTransaction::Lost {
        if request.kind == StatementKind::EndTransaction {
            caller.transaction = SessionTransaction::None;
        }
        let status = caller.transaction.status();
        let code = ResultCode::TransactionLost;
        tables.actions.push(Action::Refuse { caller: caller_key, code, status });
        return;
    }
    let (database, status) = (caller.database, caller.transaction.status());
    let deadline_us = match check_request(tables, database, &request) {
        Ok(deadline_us) => deadline_us,
        Err(code) => {
            refuse_at_entry(tables, caller_key, code, status);
            return;
        }
    };
    let key = tables.requests.insert(EntryRequest {
        caller: caller_key,
        request,
        arrived_us: tables.now_us,
        deadline_us,
        expires_us: deadline_us,
        state: EntryState::Unrouted,
        attempts: 0,
    });
    if let Some(caller) = tables.callers.get_mut(caller_key) {
        caller.in_flight = Some(key);
    }
    tables.request_deadlines.insert(deadline_us, key);
    tables.retry_budget.record_request();
    tables.unrouted.push(key);
}

/// Checks a request against the configuration and returns its deadline.
fn check_request<P>(
    tables: &Tables<P>,
    id: DatabaseId,
    request: &CallerRequest,
) -> Result<u64, ResultCode> {
    let configuration = &tables.view.configuration;
    let database = configuration.database(id).ok_or(ResultCode::UnknownDatabase)?;
    let service = configuration.service_of(database);
    let rank = service.rank(request.rank).ok_or(ResultCode::UnknownRank)?;
    if request.payload.len() > service.max_request_bytes as usize {
        return Err(ResultCode::RequestTooLarge);
    }
    Ok(request.deadline_us.unwrap_or(tables.now_us + rank.deadline_us))
}

/// Refuses a request that never got into the table. In a transaction the statement cannot simply be
/// left out, so the transaction is given up.
fn refuse_at_entry<P>(
    tables: &mut Tables<P>,
    caller_key: CallerKey,
    code: ResultCode,
    status: TransactionStatus,
) {
    let status = if status == TransactionStatus::Idle {
        status
    } else {
        abandon_transaction(tables, caller_key);
        TransactionStatus::Failed
    };
    tables.actions.push(Action::Refuse { caller: caller_key, code, status });
}

/// Has the open transaction of a caller rolled back at the owner.
pub(super) fn abandon_transaction<P>(tables: &mut Tables<P>, caller_key: CallerKey) {
    let Some(caller) = tables.callers.get_mut(caller_key) else { return };
    let database = caller.database;
    if let SessionTransaction::Open { owner, key, .. } = caller.transaction {
        caller.transaction = SessionTransaction::Lost;
        tables.send(owner, TrafficMessage::EndTransaction { database, transaction: key });
    }
}

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
        token: caller.token,
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

/// Cancels what a caller waits for.
pub(super) fn cancel_request<P>(tables: &mut Tables<P>, caller_key: CallerKey) {
    let Some(caller) = tables.callers.get(caller_key) else { return };
    let Some(key) = caller.in_flight else { return };
    let database = caller.database;
    match tables.requests.get(key).map(|request| request.state) {
        Some(EntryState::Sent { owner }) => send_cancel(tables, owner, database, key),
        Some(EntryState::Unrouted | EntryState::AwaitingOwner { .. }) => {
            let code = ResultCode::CancelledNotRun;
            tables.outcomes.push_back((key, Outcome::Refused { code }));
        }
        None => {}
    }
}

pub(super) fn send_cancel<P>(
    tables: &mut Tables<P>,
    owner: HostId,
    database: DatabaseId,
    request: RequestKey,
) {
    let entry_thread = tables.config.thread;
    tables.send(owner, TrafficMessage::Cancel { database, entry_thread, request });
}

/// Forgets a caller that has disconnected. What it left at an owner is cancelled and rolled back.
pub(super) fn close_caller<P>(tables: &mut Tables<P>, caller_key: CallerKey) {
    if let Some(key) = tables.callers.get(caller_key).and_then(|caller| caller.in_flight) {
        cancel_request(tables, caller_key);
        tables.outcomes.retain(|(request, _)| *request != key);
        super::delivery::count_abandoned(tables, key);
        if let Some(request) = tables.requests.remove(key) {
            tables.request_deadlines.remove(request.expires_us, key);
        }
    }
    abandon_transaction(tables, caller_key);
    tables.callers.remove(caller_key);
}

/// Handles a request that could not be sent.
pub(super) fn record_send_failure<P>(tables: &mut Tables<P>, host: HostId, key: RequestKey) {
    let Some(request) = tables.requests.get(key) else { return };
    if request.state != (EntryState::Sent { owner: host }) {
        return;
    }
    if in_transaction(tables, key) {
        let code = ResultCode::TransactionLost;
        tables.outcomes.push_back((key, Outcome::Refused { code }));
    } else {
        await_owner(tables, key);
    }
}

/// Handles the loss of the link to a host: whatever was sent there may or may not have run.
pub(super) fn record_link_loss<P>(tables: &mut Tables<P>, host: HostId) {
    let lost = EntryState::Sent { owner: host };
    for key in tables.requests.keys_where(|request| request.state == lost) {
        let step = after_owner_loss(tables, key);
        settle_loss(tables, key, step);
    }
    for (_, caller) in tables.callers.iter_mut() {
        let at_host = matches!(caller.transaction,
            SessionTransaction::Open { owner, .. } if owner == host);
        if at_host && caller.in_flight.is_none() {
            caller.transaction = SessionTransaction::Lost;
        }
    }
}

/// What to do with a request whose owner was lost while it had the request.
enum LossStep {
    Retry,
    Refuse(ResultCode),
}

fn settle_loss<P>(tables: &mut Tables<P>, key: RequestKey, step: LossStep) {
    match step {
        LossStep::Retry => await_owner(tables, key),
        LossStep::Refuse(code) => tables.outcomes.push_back((key, Outcome::Refused { code })),
    }
}

fn after_owner_loss<P>(tables: &mut Tables<P>, key: RequestKey) -> LossStep {
    let in_transaction = in_transaction(tables, key);
    let Some(request) = tables.requests.get(key) else {
        return LossStep::Refuse(ResultCode::OwnerLost);
    };
    match (request.request.kind, in_transaction) {
        (StatementKind::Read, false) if tables.retry_budget.try_take() => LossStep::Retry,
        (StatementKind::Begin, false) => LossStep::Refuse(ResultCode::TransactionLost),
        (StatementKind::Read | StatementKind::Write | StatementKind::Begin, true) => {
            LossStep::Refuse(ResultCode::TransactionLost)
        }
        _ => LossStep::Refuse(ResultCode::OwnerLost),
    }
}

/// Ends a request whose deadline has passed at the entry proxy, or whose former owner has not answered
/// in time.
pub(super) fn expire_request<P>(tables: &mut Tables<P>, key: RequestKey) {
    let Some(request) = tables.requests.get(key) else { return };
    let Some(caller) = tables.callers.get(request.caller) else { return };
    let (database, kind, deadline_us) =
        (caller.database, request.request.kind, request.deadline_us);
    let step = match request.state {
        EntryState::Sent { owner } => {
            send_cancel(tables, owner, database, key);
            if tables.now_us < deadline_us {
                after_owner_loss(tables, key)
            } else {
                let in_transaction = in_transaction(tables, key);
                LossStep::Refuse(code_without_word_of_owner(kind, in_transaction))
            }
        }
        _ if tables.view.owner_of(database).is_none() => LossStep::Refuse(ResultCode::NoOwner),
        _ => LossStep::Refuse(ResultCode::OwnerUnreachable),
    };
    settle_loss(tables, key, step);
}

/// Result of a request that the owner was given and has not reported on.
fn code_without_word_of_owner(kind: StatementKind, in_transaction: bool) -> ResultCode {
    match (kind, in_transaction) {
        (StatementKind::Read | StatementKind::Begin, false) => ResultCode::StatementTimeout,
        (StatementKind::Read | StatementKind::Write | StatementKind::Begin, true) => {
            ResultCode::TransactionLost
        }
        _ => ResultCode::OwnerLost,
    }
}

/// Whether a request belongs to an open transaction of its caller.
pub(super) fn in_transaction<P>(tables: &Tables<P>, key: RequestKey) -> bool {
    let request = tables.requests.get(key);
    let caller = request.and_then(|request| tables.callers.get(request.caller));
    caller.is_some_and(|caller| matches!(caller.transaction, SessionTransaction::Open { .. }))
}
