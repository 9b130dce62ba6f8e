//! Both sides: changes of the view.

use std::sync::Arc;

use super::{completion, delivery, finishing, routing};
use crate::traffic::database_state::DatabaseState;
use crate::traffic::entry_request::EntryState;
use crate::traffic::instance_state::InstanceState;
use crate::traffic::rank_queues::RankQueues;
use crate::traffic::tables::Tables;
use crate::traffic::work_item::WorkItemState;
use crate::traffic::{Action, ConnectionLoss, DispatchPolicy, RankCounters, ServiceCounters};
use crate::{
    ConnectionKey, DatabaseId, InstanceId, ResultCode, ServedDatabase, StatementKind, View,
    WorkItemKey,
};

/// Applies a new view from the control thread.
pub(super) fn apply_view<P: DispatchPolicy>(tables: &mut Tables<P>, view: Arc<View>) {
    let starts_draining = view.draining && !tables.view.draining;
    let owners_changed = view.owners != tables.view.owners;
    tables.view = view;
    add_counters(tables);
    reroute_waiting_requests(tables);
    if owners_changed {
        shorten_waits_for_former_owners(tables);
    }
    drop_databases(tables);
    for served in tables.view.served.clone() {
        if tables.config.thread_of(served.database) == tables.config.thread {
            serve(tables, served);
        }
    }
    if starts_draining {
        for caller in tables.callers.keys_where(|caller| caller.is_idle()) {
            delivery::close_if_draining(tables, caller);
        }
    }
}

/// Adds counters for new services and ranks. Those of removed ones are kept so that sums never
/// decrease.
fn add_counters<P>(tables: &mut Tables<P>) {
    for service in &tables.view.configuration.services {
        let known = tables.counters.iter().position(|entry| entry.service == service.name);
        let index = known.unwrap_or_else(|| {
            let service = service.name.clone();
            tables.counters.push(ServiceCounters { service, ranks: Vec::new() });
            tables.counters.len() - 1
        });
        let entry = &mut tables.counters[index];
        for rank in &service.ranks {
            if !entry.ranks.iter().any(|(name, _)| *name == rank.name) {
                entry.ranks.push((rank.name.clone(), RankCounters::default()));
            }
        }
    }
}

/// Routes requests that wait for an owner again, because the new view may contain one.
fn reroute_waiting_requests<P>(tables: &mut Tables<P>) {
    let waiting = tables
        .requests
        .keys_where(|request| matches!(request.state, EntryState::AwaitingOwner { .. }));
    for key in waiting {
        if let Some(request) = tables.requests.get_mut(key) {
            request.state = EntryState::Unrouted;
            tables.unrouted.push(key);
        }
    }
}

/// Shortens the wait for responses of former owners. In a planned handover the former owner has
/// responded to everything beforehand, so a missing response is unlikely to arrive.
fn shorten_waits_for_former_owners<P>(tables: &mut Tables<P>) {
    let sent = tables.requests.keys_where(|row| matches!(row.state, EntryState::Sent { .. }));
    for key in sent {
        routing::shorten_wait_for_former_owner(tables, key);
    }
}

/// Removes databases that this host no longer serves.
fn drop_databases<P: DispatchPolicy>(tables: &mut Tables<P>) {
    let ids: Vec<DatabaseId> = tables.databases.keys().copied().collect();
    for id in ids {
        if tables.view.served_database(id).is_none() {
            refuse_queued(tables, id);
            abandon_primary(tables, id);
            close_connections(tables, |instance| instance.database == id);
            for key in tables.work_items.keys_where(|work| work.request.database == id) {
                finishing::refuse(tables, key, ResultCode::WrongOwner);
            }
            tables.databases.remove(&id);
        }
    }
}

/// Starts to serve a database, or applies the changes to one that is already served.
fn serve<P: DispatchPolicy>(tables: &mut Tables<P>, served: ServedDatabase) {
    let configuration = Arc::clone(&tables.view.configuration);
    let Some(settings) = configuration.database(served.database) else { return };
    let service = configuration.service_of(settings);
    let Some(database) = tables.databases.get(&served.database) else {
        let state = DatabaseState::new(settings, service, served);
        tables.databases.insert(served.database, state);
        return;
    };
    let before = database.served;
    let ranks_changed = database.service.ranks.len() != service.ranks.len();
    if (before.term, before.primary_index) != (served.term, served.primary_index) {
        abandon_primary(tables, served.database);
    }
    replace_instances(tables, settings);
    let Some(database) = tables.databases.get_mut(&served.database) else { return };
    database.served = served;
    database.service = service.clone();
    if (before.term, before.primary_index) != (served.term, served.primary_index) {
        database.clear_confirmations();
    }
    if ranks_changed {
        rebuild_queues(tables, served.database);
    }
    if !served.admits {
        refuse_queued(tables, served.database);
    }
}

/// Applies changed settings of instances. An instance with a new address starts without
/// connections.
fn replace_instances<P: DispatchPolicy>(
    tables: &mut Tables<P>,
    settings: &crate::configuration::Database,
) {
    let Some(database) = tables.databases.get(&settings.id) else { return };
    let known: Vec<_> = database.instances.iter().map(|state| state.settings.clone()).collect();
    for (id, instance) in settings.instance_ids().zip(&settings.instances) {
        let index = usize::from(id.index);
        let before = known.get(index);
        if before == Some(instance) {
            continue;
        }
        if before.is_some_and(|before| before.address == instance.address) {
            if let Some(database) = tables.databases.get_mut(&settings.id) {
                database.instances[index].settings = instance.clone();
            }
            continue;
        }
        close_connections(tables, |connected| connected == id);
        let Some(database) = tables.databases.get_mut(&settings.id) else { return };
        let state = InstanceState::new(id, instance.clone());
        match database.instances.get_mut(index) {
            Some(entry) => *entry = state,
            None => database.instances.push(state),
        }
    }
    let count = settings.instances.len();
    close_connections(tables, |connected| {
        connected.database == settings.id && usize::from(connected.index) >= count
    });
    if let Some(database) = tables.databases.get_mut(&settings.id) {
        database.instances.truncate(count);
    }
}

/// Moves all queued requests to new queues after the number of ranks of the service has changed.
/// Requests of removed ranks move to the last rank.
fn rebuild_queues<P: DispatchPolicy>(tables: &mut Tables<P>, id: DatabaseId) {
    let Some(database) = tables.databases.get_mut(&id) else { return };
    let for_primary = database.primary_queues.drain();
    let for_replicas = database.replica_queues.drain();
    database.primary_queues = RankQueues::new(&database.service);
    database.replica_queues = RankQueues::new(&database.service);
    let last_rank = database.service.ranks.len() - 1;
    for (keys, is_primary) in [(for_primary, true), (for_replicas, false)] {
        for key in keys {
            let Some(work) = tables.work_items.get(key) else { continue };
            let rank = usize::from(work.request.rank.0).min(last_rank);
            let queues = if is_primary {
                &mut database.primary_queues
            } else {
                &mut database.replica_queues
            };
            queues.push(rank, key);
        }
    }
}

/// Refuses all waiting requests of a database, except statements of open transactions.
fn refuse_queued<P: DispatchPolicy>(tables: &mut Tables<P>, id: DatabaseId) {
    let waiting = tables.work_items.keys_where(|work| {
        work.request.database == id
            && work.request.transaction.is_none()
            && matches!(work.state, WorkItemState::AwaitingMinPosition | WorkItemState::Queued)
    });
    for key in waiting {
        finishing::refuse(tables, key, ResultCode::WrongOwner);
    }
}

/// Ends everything that depends on the former primary: its transactions, its running statements and
/// the held responses, which can no longer be confirmed.
fn abandon_primary<P: DispatchPolicy>(tables: &mut Tables<P>, id: DatabaseId) {
    let Some(database) = tables.databases.get(&id) else { return };
    let Some(index) = database.served.primary_index else { return };
    let primary = InstanceId { database: id, index };
    let unconfirmed = tables.work_items.keys_where(|work| {
        work.request.database == id && matches!(work.state, WorkItemState::AwaitingConfirmation(_))
    });
    for key in unconfirmed {
        end_unconfirmed(tables, key);
    }
    close_connections(tables, |instance| instance == primary);
}

/// Ends a request whose response can no longer be confirmed. Reads outside transactions are
/// retried.
fn end_unconfirmed<P: DispatchPolicy>(tables: &mut Tables<P>, key: WorkItemKey) {
    let Some(work) = tables.work_items.get(key) else { return };
    match (work.request.kind, work.request.transaction) {
        (StatementKind::Read, None) => completion::requeue(tables, key),
        (StatementKind::Begin, None) => {
            finishing::refuse(tables, key, ResultCode::TransactionLost);
        }
        _ => finishing::refuse(tables, key, ResultCode::Unconfirmed),
    }
}

/// Closes all connections to matching instances, and ends or retries the statements running on
/// them.
fn close_connections<P: DispatchPolicy>(
    tables: &mut Tables<P>,
    condition: impl Fn(InstanceId) -> bool,
) {
    let keys: Vec<ConnectionKey> =
        tables.connections.keys_where(|connection| condition(connection.instance));
    for key in keys {
        completion::record_loss(tables, key, ConnectionLoss::Broken);
        tables.actions.push(Action::CloseConnection { connection: key });
    }
}
