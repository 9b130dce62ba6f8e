//! Messages from other threads and hosts, and from this thread to itself.

use super::{admission, connecting, delivery, finishing};
use crate::message::{Outcome, TrafficMessage};
use crate::traffic::DispatchPolicy;
use crate::traffic::entry_request::EntryState;
use crate::traffic::tables::Tables;
use crate::traffic::work::WorkState;
use crate::{DatabaseId, HostId, RequestKey, ResultCode, WorkItemKey};

/// Handles the messages that have arrived.
pub(crate) fn receive<P: DispatchPolicy>(tables: &mut Tables<P>) {
    while let Some((from, message)) = tables.inbound.pop_front() {
        match message {
            TrafficMessage::Execute(request) => admission::admit(tables, from, request),
            TrafficMessage::Answer { database, request, outcome, .. } => {
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

/// Takes the outcome of a request if the sender is the owner that has the request at present. An answer
/// of an earlier owner is late: the request has ended or was sent to another owner.
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
    } else if let Outcome::Answered { transaction, .. } = outcome {
        delivery::drop_answer(tables, from, database, transaction);
    }
}

/// Cancels a request at its owner.
fn cancel_work<P: DispatchPolicy>(tables: &mut Tables<P>, key: WorkItemKey) {
    let Some(work) = tables.works.get(key) else { return };
    match work.state {
        WorkState::AwaitingMinPosition | WorkState::Queued => {
            finishing::refuse(tables, key, ResultCode::CancelledNotRun);
        }
        // The backend server answers a cancelled statement with an error of its own.
        WorkState::Running { connection, .. } => {
            connecting::cancel(tables, connection);
        }
        // The statement has run; only the confirmation is due.
        WorkState::AwaitingConfirmation(_) => {}
    }
}

/// Drops what came from a host whose link is lost: nobody waits for the answers any more.
pub(super) fn drop_origin<P: DispatchPolicy>(tables: &mut Tables<P>, host: HostId) {
    if host == tables.config.host {
        return;
    }
    for key in tables.transactions.keys_where(|transaction| transaction.origin == host) {
        finishing::abort_transaction(tables, key);
    }
    for key in tables.works.keys_where(|work| work.origin == host) {
        cancel_work(tables, key);
    }
}
