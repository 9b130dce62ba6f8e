//! Both sides: messages from other hosts, from other threads and from this thread itself.

use super::{admission, connecting, delivery, finishing};
use crate::message::{Outcome, TrafficMessage};
use crate::traffic::DispatchPolicy;
use crate::traffic::entry_request::EntryState;
use crate::traffic::tables::Tables;
use crate::traffic::work_item::WorkItemState;
use crate::{DatabaseId, HostId, RequestKey, ResultCode, WorkItemKey};

/// Handles all received messages.
pub(crate) fn receive<P: DispatchPolicy>(tables: &mut Tables<P>) {
    while let Some((from, message)) = tables.inbound.pop_front() {
        match message {
            TrafficMessage::Execute(request) => admission::admit(tables, from, request),
            TrafficMessage::Outcome { database, request, outcome, .. } => {
                accept_outcome(tables, from, database, request, outcome);
            }
            TrafficMessage::Cancel { entry_thread, request, .. } => {
                if let Some(&key) = tables.work_index.get(&(from, entry_thread, request)) {
                    cancel_work(tables, key);
                }
            }
            TrafficMessage::EndTransaction { transaction, .. } => {
                let row = tables.transactions.get(transaction);
                if row.is_some_and(|row| row.origin == from) {
                    finishing::abort_transaction(tables, transaction);
                }
            }
        }
    }
}

/// Accepts the outcome of a request if the sender is the host that the request was last sent to. A
/// response from any other host is late: the request has ended or was sent elsewhere.
fn accept_outcome<P>(
    tables: &mut Tables<P>,
    from: HostId,
    database: DatabaseId,
    key: RequestKey,
    outcome: Outcome,
) {
    let expected = tables.requests.get(key).map(|request| request.state);
    if expected == Some(EntryState::Sent { owner: from }) {
        tables.outcomes.push_back((key, outcome));
    } else if let Outcome::Completed { transaction, .. } = outcome {
        delivery::discard_late_response(tables, from, database, transaction);
    }
}

/// Cancels a request at its owner.
fn cancel_work<P: DispatchPolicy>(tables: &mut Tables<P>, key: WorkItemKey) {
    let Some(work) = tables.work_items.get(key) else { return };
    match work.state {
        WorkItemState::AwaitingMinPosition | WorkItemState::Queued => {
            finishing::refuse(tables, key, ResultCode::CancelledNotRun);
        }
        // The backend server responds to a cancelled statement with an error, which ends the
        // request.
        WorkItemState::Running { connection, .. } => {
            connecting::cancel(tables, connection);
        }
        // The statement has completed and only its confirmation is pending.
        WorkItemState::AwaitingConfirmation(_) => {}
    }
}

/// Rolls back transactions and cancels requests that came from a host whose link is lost, since
/// nobody waits for the responses.
pub(super) fn handle_origin_loss<P: DispatchPolicy>(tables: &mut Tables<P>, host: HostId) {
    if host == tables.config.host {
        return;
    }
    for key in tables.transactions.keys_where(|transaction| transaction.origin == host) {
        finishing::abort_transaction(tables, key);
    }
    for key in tables.work_items.keys_where(|work| work.origin == host) {
        cancel_work(tables, key);
    }
}
