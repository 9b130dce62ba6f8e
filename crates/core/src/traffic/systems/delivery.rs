//! Entry side: delivery of outcomes to callers.

use crate::message::{Outcome, TrafficMessage};
use crate::traffic::caller::SessionTransaction;
use crate::traffic::entry_request::{EntryRequest, EntryState};
use crate::traffic::tables::Tables;
use crate::traffic::{Action, RankCounters};
use crate::{
    CallerKey, DatabaseId, RequestKey, ResultCode, StatementKind, TransactionKey, TransactionStatus,
};

use super::{callers, owner_loss, routing};

/// Delivers queued outcomes to their callers. A request refused by a former owner is routed again.
pub(crate) fn deliver<P>(tables: &mut Tables<P>) {
    while let Some((key, outcome)) = tables.outcomes.pop_front() {
        match outcome {
            Outcome::Refused { code: ResultCode::WrongOwner } if may_reroute(tables, key) => {
                routing::await_owner(tables, key);
            }
            outcome => end_request(tables, key, outcome),
        }
    }
}

/// Whether a request that a host refused as not its owner may be sent to another host.
fn may_reroute<P>(tables: &Tables<P>, key: RequestKey) -> bool {
    let request = tables.requests.get(key);
    request.is_some_and(|request| tables.now_us < request.deadline_us)
        && !owner_loss::in_transaction(tables, key)
}

fn end_request<P>(tables: &mut Tables<P>, key: RequestKey, outcome: Outcome) {
    let Some(request) = tables.requests.remove(key) else { return };
    tables.request_deadlines.remove(request.expires_us, key);
    count_outcome(tables, &request, &outcome);
    match outcome {
        Outcome::Completed { response, status, transaction, min_position, .. } => {
            let Some(caller) = tables.callers.get_mut(request.caller) else { return };
            caller.in_flight = None;
            caller.raise_min_position(min_position);
            caller.transaction = match (transaction, request.state) {
                (Some(key), EntryState::Sent { owner }) => {
                    SessionTransaction::Open { owner, key, status }
                }
                _ => SessionTransaction::None,
            };
            tables.actions.push(Action::Deliver { caller: request.caller, response, status });
        }
        Outcome::Refused { code } => {
            let status = update_session_after_refusal(tables, &request);
            tables.actions.push(Action::Refuse { caller: request.caller, code, status });
        }
    }
    close_if_draining(tables, request.caller);
}

/// Updates the session of a caller whose request was refused, and returns the transaction status to
/// report. An open transaction is rolled back because it cannot continue without one of its
/// statements.
fn update_session_after_refusal<P>(
    tables: &mut Tables<P>,
    request: &EntryRequest,
) -> TransactionStatus {
    if let Some(caller) = tables.callers.get_mut(request.caller) {
        caller.in_flight = None;
    }
    callers::abandon_transaction(tables, request.caller);
    let Some(caller) = tables.callers.get_mut(request.caller) else {
        return TransactionStatus::Idle;
    };
    if request.request.kind == StatementKind::EndTransaction {
        caller.transaction = SessionTransaction::None;
    }
    caller.transaction.status()
}

/// Disconnects a caller if the proxy is shutting down and the caller has no request in flight and
/// no transaction. It stays in the table until the I/O layer reports it as closed, so that requests
/// that arrive before then are still served.
pub(super) fn close_if_draining<P>(tables: &mut Tables<P>, caller_key: CallerKey) {
    if !tables.view.draining {
        return;
    }
    if tables.callers.get(caller_key).is_some_and(|caller| caller.is_idle()) {
        let code = ResultCode::ShuttingDown;
        tables.actions.push(Action::CloseCaller { caller: caller_key, code });
    }
}

/// Discards a response that no request waits for, and rolls back the transaction that is open after
/// it.
pub(super) fn discard_late_response<P>(
    tables: &mut Tables<P>,
    owner: crate::HostId,
    database: DatabaseId,
    transaction: Option<TransactionKey>,
) {
    if let Some(transaction) = transaction {
        tables.send(owner, TrafficMessage::EndTransaction { database, transaction });
    }
}

/// Counts a request whose caller has disconnected.
pub(super) fn count_abandoned<P>(tables: &mut Tables<P>, key: RequestKey) {
    let Some(request) = tables.requests.get(key).cloned() else { return };
    if let Some((counters, _)) = counters_of(tables, &request) {
        counters.abandoned += 1;
    }
}

fn count_outcome<P>(tables: &mut Tables<P>, request: &EntryRequest, outcome: &Outcome) {
    let latency_us = tables.now_us.saturating_sub(request.arrived_us);
    let is_stale_read =
        request.request.kind == StatementKind::Read && request.request.max_staleness_us > 0;
    let Some((counters, target_latency_us)) = counters_of(tables, request) else { return };
    match outcome {
        Outcome::Completed { by_replica, .. } => {
            counters.record_reply(latency_us, target_latency_us);
            counters.reads += u64::from(is_stale_read);
            counters.replica_reads += u64::from(is_stale_read && *by_replica);
        }
        Outcome::Refused { code } => counters.record_refusal(code.class()),
    }
}

/// Counters of a request's rank, and the rank's target latency.
fn counters_of<'a, P>(
    tables: &'a mut Tables<P>,
    request: &EntryRequest,
) -> Option<(&'a mut RankCounters, u64)> {
    let caller = tables.callers.get(request.caller)?;
    let configuration = &tables.view.configuration;
    let service = configuration.service_of(configuration.database(caller.database)?);
    let rank = service.rank(request.request.rank)?;
    let entry = tables.counters.iter_mut().find(|entry| entry.service == service.name)?;
    let (_, counters) = entry.ranks.iter_mut().find(|(name, _)| *name == rank.name)?;
    Some((counters, rank.target_latency_us))
}
