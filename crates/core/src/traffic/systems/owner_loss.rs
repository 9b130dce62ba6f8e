//! Entry side: requests whose owner cannot be reached, was lost or does not answer.

use super::callers::send_cancel;
use super::routing::await_owner;
use crate::message::Outcome;
use crate::traffic::caller::SessionTransaction;
use crate::traffic::entry_request::EntryState;
use crate::traffic::tables::Tables;
use crate::{HostId, RequestKey, ResultCode, StatementKind};

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
