//! Owner side: whether a request is taken, and where it waits.

use super::finishing;
use crate::message::{ExecuteRequest, Outcome, TrafficMessage};
use crate::traffic::DispatchPolicy;
use crate::traffic::database_state::DatabaseState;
use crate::traffic::tables::Tables;
use crate::traffic::work::{Work, WorkState};
use crate::{HostId, ResultCode, StatementKind};

/// What is done with a request that has arrived at the owner of its database.
enum Admission {
    /// It is a statement of an open transaction.
    JoinTransaction,
    /// It must know the primary's position first.
    AwaitMinPosition,
    /// It needs the primary.
    QueueForPrimary,
    /// A replica may serve it.
    QueueForReplica,
    /// It is not run.
    Refuse(ResultCode),
}

/// Takes a request into the table, or refuses it.
pub(super) fn admit<P: DispatchPolicy>(
    tables: &mut Tables<P>,
    origin: HostId,
    mut request: ExecuteRequest,
) {
    discard_earlier_attempt(tables, origin, &request);
    if let Some(database) = tables.databases.get_mut(&request.database) {
        // Refused requests count too: probes must go on, or a missing majority would never be seen to
        // have come back.
        database.last_request_us = tables.now_us;
    }
    let admission = match decide(tables, origin, &request) {
        Admission::Refuse(code) => Admission::Refuse(code),
        admission => check_load(tables, &request, admission),
    };
    if let Admission::Refuse(code) = admission {
        refuse_arrival(tables, origin, &request, code);
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
        Admission::AwaitMinPosition => WorkState::AwaitingMinPosition,
        _ => WorkState::Queued,
    };
    let key = tables.works.insert(Work { origin, request, arrived_us: now_us, deadline_us, state });
    match admission {
        Admission::JoinTransaction => database.transaction_queue.push_back(key),
        Admission::AwaitMinPosition => {
            database.awaiting_min_position.push(key);
            database.newest_wait_us = now_us;
        }
        Admission::QueueForPrimary => database.primary_lane.push(rank, key),
        Admission::QueueForReplica => database.replica_lane.push(rank, key),
        Admission::Refuse(_) => {}
    }
    tables.work_index.insert(index_key, key);
    tables.work_deadlines.insert(deadline_us, key);
    if let Some(transaction) = transaction {
        finishing::stop_idle_timer(tables, transaction);
    }
}

/// Drops a former attempt of the same request. Only reads are sent twice, after a broken link that
/// this host has not noticed yet.
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

fn decide<P: DispatchPolicy>(
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

/// Turns an admission into a refusal if the queue is full or the expected wait is too long.
fn check_load<P: DispatchPolicy>(
    tables: &mut Tables<P>,
    request: &ExecuteRequest,
    admission: Admission,
) -> Admission {
    let now_us = tables.now_us;
    let Some(database) = tables.databases.get_mut(&request.database) else { return admission };
    let (slots, lane) = match admission {
        Admission::JoinTransaction | Admission::Refuse(_) => return admission,
        Admission::QueueForPrimary => {
            let slots = database.primary().map_or(1, |primary| u64::from(primary.settings.slots));
            (slots, &mut database.primary_lane)
        }
        Admission::AwaitMinPosition | Admission::QueueForReplica => {
            (database.replica_slots(), &mut database.replica_lane)
        }
    };
    let rank = usize::from(request.rank.0);
    if lane.queue_len(rank) >= database.service.queue_limit as usize {
        return Admission::Refuse(ResultCode::QueueFull);
    }
    if lane.refuses(rank, slots, request.remaining_us, now_us) {
        return Admission::Refuse(ResultCode::Overloaded);
    }
    admission
}

fn refuse_arrival<P>(
    tables: &mut Tables<P>,
    origin: HostId,
    request: &ExecuteRequest,
    code: ResultCode,
) {
    let message = TrafficMessage::Answer {
        database: request.database,
        entry_thread: request.entry_thread,
        request: request.request,
        outcome: Outcome::Refused { code },
    };
    tables.send(origin, message);
}
