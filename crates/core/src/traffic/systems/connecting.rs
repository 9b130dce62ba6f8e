//! Owner side: connections to backend servers.

use crate::traffic::connection::{Connection, ConnectionState};
use crate::traffic::instance_state::InstanceState;
use crate::traffic::tables::Tables;
use crate::traffic::{Action, DispatchPolicy};
use crate::{ConnectionKey, InstanceId, View};

/// Opens missing connections, and closes idle ones to instances on hosts that are being removed.
pub(crate) fn connect<P: DispatchPolicy>(tables: &mut Tables<P>) {
    let Tables { databases, connections, actions, view, now_us, .. } = tables;
    for database in databases.values_mut() {
        if database.primary().is_none() {
            continue;
        }
        for instance in &mut database.instances {
            if view.is_leaving(instance.id) {
                close_idle(instance, connections, actions);
                continue;
            }
            for _ in 0..missing_connections(instance, *now_us) {
                instance.open_connections += 1;
                instance.opening_connections += 1;
                let connection = connections.insert(Connection {
                    instance: instance.id,
                    state: ConnectionState::Opening,
                    transaction: None,
                    needs_reset: false,
                    cancel_sent: false,
                });
                actions.push(Action::OpenConnection { connection, instance: instance.id });
            }
        }
    }
}

/// Number of connections to open now. One connection per slot is opened in advance because opening
/// one takes about 12 ms; more are opened when transactions hold the others.
fn missing_connections(instance: &InstanceState, now_us: u64) -> u16 {
    if now_us < instance.connect_after_us {
        return 0;
    }
    let in_advance = instance.settings.slots.saturating_sub(instance.open_connections);
    let on_demand = instance.wanted_connections.saturating_sub(instance.opening_connections);
    in_advance.max(on_demand).min(instance.connection_headroom())
}

fn close_idle(
    instance: &mut InstanceState,
    connections: &mut crate::arena::Arena<ConnectionKey, Connection>,
    actions: &mut Vec<Action>,
) {
    for connection in std::mem::take(&mut instance.idle) {
        connections.remove(connection);
        instance.open_connections -= 1;
        actions.push(Action::CloseConnection { connection });
    }
}

/// Time at which a delayed connection attempt is due, if one is needed.
pub(super) fn next_attempt_us(view: &View, instance: &InstanceState, now_us: u64) -> Option<u64> {
    let delayed = instance.connect_after_us > now_us && !view.is_leaving(instance.id);
    let needed = instance.open_connections < instance.settings.slots
        || instance.wanted_connections > instance.opening_connections;
    (delayed && needed).then_some(instance.connect_after_us)
}

/// Marks a connection as idle once it has been opened.
pub(super) fn record_opened<P>(tables: &mut Tables<P>, key: ConnectionKey) {
    let Some(connection) = tables.connections.get(key) else { return };
    if connection.state != ConnectionState::Opening {
        return;
    }
    let instance = connection.instance;
    if let Some(state) = instance_mut(tables, instance) {
        state.opening_connections -= 1;
        state.connect_failures = 0;
    }
    make_idle(tables, key);
}

/// Marks a connection as idle once it has been reset.
pub(super) fn record_reset<P>(tables: &mut Tables<P>, key: ConnectionKey) {
    let Some(connection) = tables.connections.get_mut(key) else { return };
    if connection.state == ConnectionState::Resetting {
        connection.needs_reset = false;
        make_idle(tables, key);
    }
}

/// Makes a connection that no transaction holds available again. It is reset first if session state
/// may remain, and closed if a cancel request for it may still arrive.
pub(super) fn release<P>(tables: &mut Tables<P>, key: ConnectionKey) {
    let Some(connection) = tables.connections.get(key) else { return };
    if connection.cancel_sent {
        close(tables, key);
    } else if connection.needs_reset {
        reset(tables, key);
    } else {
        make_idle(tables, key);
    }
}

fn make_idle<P>(tables: &mut Tables<P>, key: ConnectionKey) {
    let Some(connection) = tables.connections.get_mut(key) else { return };
    connection.state = ConnectionState::Idle;
    let instance = connection.instance;
    match instance_mut(tables, instance) {
        Some(state) => state.idle.push(key),
        None => close(tables, key),
    }
}

/// Rolls back any transaction on a connection and clears its session state; closes it instead if a
/// cancel request for it may still arrive.
pub(super) fn reset<P>(tables: &mut Tables<P>, key: ConnectionKey) {
    let Some(connection) = tables.connections.get_mut(key) else { return };
    if connection.cancel_sent {
        return close(tables, key);
    }
    connection.state = ConnectionState::Resetting;
    tables.actions.push(Action::ResetConnection { connection: key });
}

/// Asks the backend server to cancel the statement that runs on a connection.
pub(super) fn cancel<P>(tables: &mut Tables<P>, key: ConnectionKey) {
    let Some(connection) = tables.connections.get_mut(key) else { return };
    connection.cancel_sent = true;
    tables.actions.push(Action::CancelConnection { connection: key });
}

/// Closes a connection in any state.
pub(super) fn close<P>(tables: &mut Tables<P>, key: ConnectionKey) {
    if tables.connections.contains(key) {
        remove(tables, key, false);
        tables.actions.push(Action::CloseConnection { connection: key });
    }
}

/// Removes a connection from the tables and updates the instance's counts.
pub(super) fn remove<P>(tables: &mut Tables<P>, key: ConnectionKey, connect_failed: bool) {
    let Some(connection) = tables.connections.remove(key) else { return };
    let now_us = tables.now_us;
    let Some(state) = instance_mut(tables, connection.instance) else { return };
    state.open_connections -= 1;
    state.idle.retain(|&idle| idle != key);
    match connection.state {
        ConnectionState::Opening => state.opening_connections -= 1,
        ConnectionState::Running(_) => state.running_statements -= 1,
        ConnectionState::Idle | ConnectionState::Resetting => {}
    }
    if connect_failed {
        state.record_connect_failure(now_us);
    }
}

fn instance_mut<P>(tables: &mut Tables<P>, id: InstanceId) -> Option<&mut InstanceState> {
    tables.databases.get_mut(&id.database)?.instances.get_mut(usize::from(id.index))
}
