//! Both sides: a new view of the control thread.

use std::sync::Arc;

use super::{completion, delivery, finishing, routing};
use crate::traffic::database_state::DatabaseState;
use crate::traffic::entry_request::EntryState;
use crate::traffic::instance_state::InstanceState;
use crate::traffic::lane::Lane;
use crate::traffic::tables::Tables;
use crate::traffic::work::WorkState;
use crate::traffic::{Action, ConnectionLoss, DispatchPolicy, RankCounters, ServiceCounters};
use crate::{
    ConnectionKey, DatabaseId, InstanceId, ResultCode, ServedDatabase, StatementKind, View,
    WorkItemKey,
};

/// Puts a new view in force.
pub(super) fn apply_view<P: DispatchPolicy>(tables: &mut Tables<P>, view: Arc<View>) {
    let starts_draining = view.draining && !tables.view.draining;
    let owners_changed = view.owners != tables.view.owners;
    tables.view = view;
    add_counters(tables);
    wake_requests(tables);
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

/// Adds counters of new services and ranks. Counters of dropped ones stay, so that sums never fall.
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

/// Routes the requests that wait for an owner, as the view may name one.
fn wake_requests<P>(tables: &mut Tables<P>) {
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

/// Shortens the wait for the answers of former owners. A planned change of owner happens after the
/// former one has answered everything, so an answer that is still missing will hardly come.
fn shorten_waits_for_former_owners<P>(tables: &mut Tables<P>) {
    let sent = tables.requests.keys_where(|row| matches!(row.state, EntryState::Sent { .. }));
    for key in sent {
        routing::shorten_wait_for_former_owner(tables, key);
    }
}

/// Lets go of the databases that this host no longer owns.
fn drop_databases<P: DispatchPolicy>(tables: &mut Tables<P>) {
    let ids: Vec<DatabaseId> = tables.databases.keys().copied().collect();
    for id in ids {
        if tables.view.served_database(id).is_none() {
            refuse_queued(tables, id);
            abandon_primary(tables, id);
            close_connections(tables, |instance| instance.database == id);
            for key in tables.works.keys_where(|work| work.request.database == id) {
                finishing::refuse(tables, key, ResultCode::WrongOwner);
            }
            tables.databases.remove(&id);
        }
    }
}

/// Starts to serve a database or takes over what has changed in it.
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
        database.forget_confirmations();
    }
    if ranks_changed {
        rebuild_lanes(tables, served.database);
    }
    if !served.admits {
        refuse_queued(tables, served.database);
    }
}

/// Replaces the instances whose settings have changed.
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

/// Queues all waiting requests anew after the service's list of ranks has changed.
fn rebuild_lanes<P: DispatchPolicy>(tables: &mut Tables<P>, id: DatabaseId) {
    let Some(database) = tables.databases.get_mut(&id) else { return };
    let for_primary = database.primary_lane.drain();
    let for_replicas = database.replica_lane.drain();
    database.primary_lane = Lane::new(&database.service);
    database.replica_lane = Lane::new(&database.service);
    let last_rank = database.service.ranks.len() - 1;
    for (keys, is_primary) in [(for_primary, true), (for_replicas, false)] {
        for key in keys {
            let Some(work) = tables.works.get(key) else { continue };
            let rank = usize::from(work.request.rank.0).min(last_rank);
            let lane =
                if is_primary { &mut database.primary_lane } else { &mut database.replica_lane };
            lane.push(rank, key);
        }
    }
}

/// Turns away everything that waits in a database, except statements of open transactions.
fn refuse_queued<P: DispatchPolicy>(tables: &mut Tables<P>, id: DatabaseId) {
    let waiting = tables.works.keys_where(|work| {
        work.request.database == id
            && work.request.transaction.is_none()
            && matches!(work.state, WorkState::AwaitingMinPosition | WorkState::Queued)
    });
    for key in waiting {
        finishing::refuse(tables, key, ResultCode::WrongOwner);
    }
}

/// Ends what depends on the primary so far: its transactions, what runs on it and the answers that
/// wait for a confirmation, which can no longer come.
fn abandon_primary<P: DispatchPolicy>(tables: &mut Tables<P>, id: DatabaseId) {
    let Some(database) = tables.databases.get(&id) else { return };
    let Some(index) = database.served.primary_index else { return };
    let primary = InstanceId { database: id, index };
    let unconfirmed = tables.works.keys_where(|work| {
        work.request.database == id && matches!(work.state, WorkState::AwaitingConfirmation(_))
    });
    for key in unconfirmed {
        give_up_confirmation(tables, key);
    }
    close_connections(tables, |instance| instance == primary);
}

/// Ends a request whose answer can no longer be confirmed, or repeats it if it is a plain read.
fn give_up_confirmation<P: DispatchPolicy>(tables: &mut Tables<P>, key: WorkItemKey) {
    let Some(work) = tables.works.get(key) else { return };
    match (work.request.kind, work.request.transaction) {
        (StatementKind::Read, None) => completion::requeue(tables, key),
        (StatementKind::Begin, None) => {
            finishing::refuse(tables, key, ResultCode::TransactionLost);
        }
        _ => finishing::refuse(tables, key, ResultCode::Unconfirmed),
    }
}

/// Closes connections with all that runs on them.
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
