//! Receives configuration documents and puts the newest one in force.

use core::net::SocketAddr;
use std::sync::Arc;

use super::ownership;
use crate::DatabaseId;
use crate::configuration::{Configuration, Database};
use crate::control::tables::{Document, Route, Tables};
use crate::control::{Action, StateChange, StoreResponse};

/// Polling interval of a host that does not watch the configuration document.
const READ_INTERVAL_US: u64 = 30_000_000;

pub(crate) fn run(tables: &mut Tables) {
    for response in core::mem::take(&mut tables.inputs.configuration_responses) {
        handle_store_response(tables, response);
    }
    for (version, result) in core::mem::take(&mut tables.inputs.parsed) {
        handle_parsed(tables, version, result);
    }
}

/// Requests the parsing of a document unless it is outdated, already refused, or not newer than the
/// one being parsed.
pub(crate) fn submit(tables: &mut Tables, document: Document) {
    if document.version < tables.configuration.current.version {
        tables.counters.configurations_stale += 1;
    }
    if !tables.configuration.would_accept(document.version) {
        return;
    }
    let Document { version, text } = document.clone();
    tables.configuration.parsing = Some(document);
    tables.actions.push(Action::ParseConfiguration { version, text });
}

fn handle_store_response(tables: &mut Tables, response: StoreResponse) {
    let now_us = tables.now_us;
    tables.configuration.store_call = None;
    tables.timers.configuration_store.set((), now_us);
    let StoreResponse::Configuration { index, document } = response else {
        tables.configuration.store_rate_limiter.record_failure(now_us, &mut tables.rng);
        tables.configuration.next_read_us = now_us;
        return;
    };
    tables.configuration.store_rate_limiter.record_success(tables.now_us);
    tables.configuration.store_index = Some(index);
    tables.configuration.next_read_us = now_us + tables.jittered(READ_INTERVAL_US);
    if let Some((version, text)) = document {
        submit(tables, Document { version, text });
    }
}

fn handle_parsed(tables: &mut Tables, version: u64, result: Result<Arc<Configuration>, String>) {
    let Some(document) = tables.configuration.parsing.take_if(|d| d.version == version) else {
        return;
    };
    match result {
        Ok(configuration) => activate(tables, configuration, document),
        Err(reason) => {
            tables.configuration.refused.insert(version);
            tables.counters.configurations_refused += 1;
            tables.log(StateChange::ConfigurationRefused { version, reason });
        }
    }
}

fn activate(tables: &mut Tables, configuration: Arc<Configuration>, document: Document) {
    let version = document.version;
    if version <= tables.configuration.current.version {
        return;
    }
    let previous = core::mem::replace(&mut tables.configuration.current, configuration);
    tables.configuration.text = Some(document.text);
    tables.configuration.refused.retain(|&refused| refused > version);
    tables.leaving_stale = true;
    tables.view_changed = true;
    tables.timers.heartbeat.set((), tables.now_us);
    tables.log(StateChange::ConfigurationInForce { version });
    drop_databases(tables);
    add_databases(tables);
    refence_changed(tables, &previous);
}

/// Releases ownership and removes the routes of databases that the configuration no longer
/// contains.
fn drop_databases(tables: &mut Tables) {
    let current = Arc::clone(&tables.configuration.current);
    let dropped: Vec<DatabaseId> =
        tables.routes.keys().copied().filter(|&id| current.database(id).is_none()).collect();
    for database in dropped {
        if tables.owned.contains_key(&database) {
            ownership::release(tables, database);
            tables.log(StateChange::DatabaseDropped { database });
        }
        ownership::remove_route(tables, database);
    }
}

fn add_databases(tables: &mut Tables) {
    let current = Arc::clone(&tables.configuration.current);
    for database in &current.databases {
        tables.routes.entry(database.id).or_insert_with(Route::new);
        tables.timers.route.set(database.id, tables.now_us);
    }
}

/// Fences again the owned databases whose instances have changed, so that a majority of the new set
/// accepts the next term before one of them is promoted.
fn refence_changed(tables: &mut Tables, previous: &Configuration) {
    let now_us = tables.now_us;
    let current = Arc::clone(&tables.configuration.current);
    for (&id, owned) in &mut tables.owned {
        let (Some(old), Some(new)) = (previous.database(id), current.database(id)) else {
            continue;
        };
        if addresses(old).eq(addresses(new)) {
            continue;
        }
        owned.replace_instances(new.instances.len(), now_us);
        tables.timers.owned.set(id, now_us);
    }
}

fn addresses(database: &Database) -> impl Iterator<Item = SocketAddr> + '_ {
    database.instances.iter().map(|instance| instance.address)
}
