//! Owner side: admission of requests and choice of a queue.

use super::finishing;
use crate::message::{ExecuteRequest, Outcome, TrafficMessage};
use crate::traffic::DispatchPolicy;
use crate::traffic::database_state::DatabaseState;
use crate::traffic::tables::Tables;
use crate::traffic::work_item::{WorkItem, WorkItemState};
use crate::{HostId, ResultCode, StatementKind};

/// What to do with a request that has arrived at the owner of its database.
enum Admission {
    /// Queue it as a statement of an open transaction.
    JoinTransaction,
    /// Wait for a confirmed position of the primary, then queue it for a replica.
    AwaitMinPosition,
    /// Queue it for the primary.
    QueueForPrimary,
    /// Queue it for a replica.
    QueueForReplica,
    /// Refuse it without running it.
    Refuse(ResultCode),
}

/// Admits a request that has arrived from an entry proxy, or refuses it.
pub(super) fn admit<P: DispatchPolicy>(
    tables: &mut Tables<P>,
    origin: HostId,
    mut request: ExecuteRequest,
) {
    discard_earlier_attempt(tables, origin, &request);
    if let Some(database) = tables.databases.get_mut(&request.database) {
        // Refused requests count as well. Probing must continue after refusals, or the return of a
        // missing majority would go unnoticed.
        database.last_request_us = tables.now_us;
    }
    let admission = match decide_admission(tables, origin, &request) {
        Admission::Refuse(code) => Admission::Refuse(code),
        admission => check_load(tables, &request, admission),
    };
    if let Admission::Refuse(code) = admission {
        send_refusal(tables, origin, &request, code);
        return;
    }
    let now_us = tables.now_us;
    let Some(database) = tables.databases.get_mut(&request.database) else { return };
    request.max_staleness_us = request.max_staleness_us.min(database.service.max_staleness_us);
    let index_key = (origin, request.entry_thread, request.request);
    let rank = usize::from(request.rank.0);
    let transaction = request.transaction;
    let deadline_us = now_us + request.remaining_us;
    let state = match admission {
        Admission::AwaitMinPosition => WorkItemState::AwaitingMinPosition,
        _ => WorkItemState::Queued,
    };
    let key = tables.work_items.insert(WorkItem {
        origin,
        request,
        arrived_us: now_us,
        deadline_us,
        state,
    });
    match admission {
        Admission::JoinTransaction => database.transaction_queue.push_back(key),
        Admission::AwaitMinPosition => {
            database.awaiting_min_position.push(key);
            database.newest_wait_us = now_us;
        }
        Admission::QueueForPrimary => database.primary_queues.push(rank, key),
        Admission::QueueForReplica => database.replica_queues.push(rank, key),
        Admission::Refuse(_) => {}
    }
    tables.work_index.insert(index_key, key);
    tables.work_deadlines.insert(deadline_us, key);
    if let Some(transaction) = transaction {
        finishing::stop_idle_timer(tables, transaction);
    }
}

/// Discards an earlier attempt of the same request. Only reads are sent again, after a link has
/// broken that this host has not yet seen as lost.
fn discard_earlier_attempt<P: DispatchPolicy>(
    tables: &mut Tables<P>,
    origin: HostId,
    request: &ExecuteRequest,
) {
    let index_key = (origin, request.entry_thread, request.request);
    if let Some(&earlier) = tables.work_index.get(&index_key) {
        finishing::discard(tables, earlier);
    }
}

fn decide_admission<P: DispatchPolicy>(
    tables: &Tables<P>,
    origin: HostId,
    request: &ExecuteRequest,
) -> Admission {
    let Some(database) = tables.databases.get(&request.database) else {
        return Admission::Refuse(ResultCode::WrongOwner);
    };
    if usize::from(request.rank.0) >= database.service.ranks.len() {
        return Admission::Refuse(ResultCode::UnknownRank);
    }
    if let Some(key) = request.transaction {
        let transaction = tables
            .transactions
            .get(key)
            .filter(|row| row.origin == origin && row.database == request.database);
        return match transaction {
            Some(_) => Admission::JoinTransaction,
            None if tables.idle_timeouts.contains(&key) => {
                Admission::Refuse(ResultCode::IdleTransactionTimeout)
            }
            None => Admission::Refuse(ResultCode::TransactionLost),
        };
    }
    let newer_term =
        request.min_position.is_some_and(|min_position| min_position.term > database.served.term);
    if !database.served.admits || newer_term {
        return Admission::Refuse(ResultCode::WrongOwner);
    }
    choose_queue(database, request, tables.now_us)
}

fn choose_queue<P: DispatchPolicy>(
    database: &DatabaseState<P>,
    request: &ExecuteRequest,
    now_us: u64,
) -> Admission {
    let max_staleness_us = request.max_staleness_us.min(database.service.max_staleness_us);
    let accepts_stale = request.kind == StatementKind::Read && max_staleness_us > 0;
    let needs_majority = !accepts_stale || request.min_position.is_none();
    if needs_majority && database.primary().is_some() && database.lacks_majority(now_us) {
        return Admission::Refuse(ResultCode::NoConfirmingReplica);
    }
    match (accepts_stale, request.min_position) {
        (true, Some(_)) => Admission::QueueForReplica,
        (true, None) => Admission::AwaitMinPosition,
        (false, _) => Admission::QueueForPrimary,
    }
}

/// Returns a refusal if the queue is full or the expected wait is too long, else `admission`
/// unchanged.
fn check_load<P: DispatchPolicy>(
    tables: &mut Tables<P>,
    request: &ExecuteRequest,
    admission: Admission,
) -> Admission {
    let now_us = tables.now_us;
    let Some(database) = tables.databases.get_mut(&request.database) else { return admission };
    let (slots, queues) = match admission {
        Admission::JoinTransaction | Admission::Refuse(_) => return admission,
        Admission::QueueForPrimary => {
            let slots = database.primary().map_or(1, |primary| u64::from(primary.settings.slots));
            (slots, &mut database.primary_queues)
        }
        Admission::AwaitMinPosition | Admission::QueueForReplica => {
            (database.replica_slots(), &mut database.replica_queues)
        }
    };
    let rank = usize::from(request.rank.0);
    if queues.queue_len(rank) >= database.service.queue_limit as usize {
        return Admission::Refuse(ResultCode::QueueFull);
    }
    if queues.should_refuse(rank, slots, request.remaining_us, now_us) {
        return Admission::Refuse(ResultCode::Overloaded);
    }
    admission
}

fn send_refusal<P>(
    tables: &mut Tables<P>,
    origin: HostId,
    request: &ExecuteRequest,
    code: ResultCode,
) {
    let message = TrafficMessage::Outcome {
        database: request.database,
        entry_thread: request.entry_thread,
        request: request.request,
        outcome: Outcome::Refused { code },
    };
    tables.send(origin, message);
}
