//! Entry side: connection of callers, arrival and cancellation of requests, disconnection.

use super::delivery;
use crate::message::{Outcome, TrafficMessage};
use crate::traffic::caller::SessionTransaction;
use crate::traffic::entry_request::{EntryRequest, EntryState};
use crate::traffic::tables::Tables;
use crate::traffic::{Action, CallerRequest};
use crate::{
    CallerKey, DatabaseId, HostId, RequestKey, ResultCode, StatementKind, TransactionStatus,
};

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
    let of_service = configuration
        .databases
        .iter()
        .filter(|other| other.service_index == database.service_index);
    let connected: u32 = of_service.map(|other| tables.connected_callers(other.id)).sum();
    if connected >= limit {
        return Err(ResultCode::TooManyCallers);
    }
    Ok(())
}

/// Accepts a request from a caller, or refuses it.
pub(crate) fn accept_request<P>(
    tables: &mut Tables<P>,
    caller_key: CallerKey,
    request: CallerRequest,
) {
    // An unknown caller has been reported as closed by the I/O layer, so nobody waits for a reply.
    let Some(caller) = tables.callers.get_mut(caller_key) else { return };
    debug_assert!(caller.in_flight.is_none(), "a caller has at most one request in flight");
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
        routing_attempts: 0,
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

/// Refuses a request that has not been accepted. An open transaction cannot continue without one of
/// its statements, so it is rolled back.
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

/// Asks the owner to roll back the open transaction of a caller, if there is one.
pub(super) fn abandon_transaction<P>(tables: &mut Tables<P>, caller_key: CallerKey) {
    let Some(caller) = tables.callers.get_mut(caller_key) else { return };
    let database = caller.database;
    if let SessionTransaction::Open { owner, key, .. } = caller.transaction {
        caller.transaction = SessionTransaction::Lost;
        tables.send(owner, TrafficMessage::EndTransaction { database, transaction: key });
    }
}

/// Cancels the request that a caller has in flight.
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

/// Removes a caller that has disconnected, cancels its request and rolls back its transaction.
pub(super) fn close_caller<P>(tables: &mut Tables<P>, caller_key: CallerKey) {
    if let Some(key) = tables.callers.get(caller_key).and_then(|caller| caller.in_flight) {
        cancel_request(tables, caller_key);
        tables.outcomes.retain(|(request, _)| *request != key);
        delivery::count_abandoned(tables, key);
        if let Some(request) = tables.requests.remove(key) {
            tables.request_deadlines.remove(request.expires_us, key);
        }
    }
    abandon_transaction(tables, caller_key);
    tables.remove_caller(caller_key);
}
