//! Entry side: requests whose owner is unreachable, was lost or does not respond.

use super::callers::send_cancel;
use super::routing::await_owner;
use crate::message::Outcome;
use crate::traffic::caller::SessionTransaction;
use crate::traffic::entry_request::EntryState;
use crate::traffic::tables::Tables;
use crate::{HostId, RequestKey, ResultCode, StatementKind};

/// Handles a request that could not be sent to its owner, and therefore has not run.
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

/// Handles the loss of the link to a host. Requests that were sent there may or may not have run.
pub(super) fn record_link_loss<P>(tables: &mut Tables<P>, host: HostId) {
    let lost = EntryState::Sent { owner: host };
    for key in tables.requests.keys_where(|request| request.state == lost) {
        let action = owner_loss_action(tables, key);
        apply_loss_action(tables, key, action);
    }
    for (_, caller) in tables.callers.iter_mut() {
        let at_host = matches!(caller.transaction,
            SessionTransaction::Open { owner, .. } if owner == host);
        if at_host && caller.in_flight.is_none() {
            caller.transaction = SessionTransaction::Lost;
        }
    }
}

/// What to do with a request whose owner was lost after the request was sent to it.
enum LossAction {
    Retry,
    Refuse(ResultCode),
}

fn apply_loss_action<P>(tables: &mut Tables<P>, key: RequestKey, action: LossAction) {
    match action {
        LossAction::Retry => await_owner(tables, key),
        LossAction::Refuse(code) => tables.outcomes.push_back((key, Outcome::Refused { code })),
    }
}

fn owner_loss_action<P>(tables: &mut Tables<P>, key: RequestKey) -> LossAction {
    let in_transaction = in_transaction(tables, key);
    let Some(request) = tables.requests.get(key) else {
        return LossAction::Refuse(ResultCode::OwnerLost);
    };
    match (request.request.kind, in_transaction) {
        (StatementKind::Read, false) if tables.retry_budget.try_take() => LossAction::Retry,
        (StatementKind::Begin, false) => LossAction::Refuse(ResultCode::TransactionLost),
        (StatementKind::Read | StatementKind::Write | StatementKind::Begin, true) => {
            LossAction::Refuse(ResultCode::TransactionLost)
        }
        _ => LossAction::Refuse(ResultCode::OwnerLost),
    }
}

/// Ends a request whose deadline has passed at the entry proxy. Ends or retries one whose former
/// owner has not responded in time.
pub(super) fn expire_request<P>(tables: &mut Tables<P>, key: RequestKey) {
    let Some(request) = tables.requests.get(key) else { return };
    let Some(caller) = tables.callers.get(request.caller) else { return };
    let (database, kind, deadline_us) =
        (caller.database, request.request.kind, request.deadline_us);
    let action = match request.state {
        EntryState::Sent { owner } => {
            send_cancel(tables, owner, database, key);
            if tables.now_us < deadline_us {
                owner_loss_action(tables, key)
            } else {
                let in_transaction = in_transaction(tables, key);
                LossAction::Refuse(code_without_owner_response(kind, in_transaction))
            }
        }
        _ if tables.view.owner_of(database).is_none() => LossAction::Refuse(ResultCode::NoOwner),
        _ => LossAction::Refuse(ResultCode::OwnerUnreachable),
    };
    apply_loss_action(tables, key, action);
}

/// Result code of a request that was sent to the owner and got no response by its deadline.
fn code_without_owner_response(kind: StatementKind, in_transaction: bool) -> ResultCode {
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
