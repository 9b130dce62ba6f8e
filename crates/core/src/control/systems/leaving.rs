//! Determines which instances are on leaving hosts.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::InstanceId;
use crate::control::HostEntry;
use crate::control::tables::Tables;

pub(crate) fn run(tables: &mut Tables) {
    if let Some(entries) = tables.inputs.host_list.take()
        && entries != tables.host_list
    {
        tables.host_list = entries;
        tables.leaving_stale = true;
    }
    if !core::mem::take(&mut tables.leaving_stale) {
        return;
    }
    let leaving = leaving_instances(tables);
    if leaving == tables.leaving {
        return;
    }
    tables.leaving = leaving;
    tables.view_changed = true;
    for &database in tables.owned.keys() {
        tables.timers.owned.set(database, tables.now_us);
    }
}

/// Matches the host list with the configured instances. An entry named `DATABASE-INSTANCE` applies
/// to that instance alone and overrides all other entries for it; every other entry applies to the
/// instances with its address.
fn leaving_instances(tables: &Tables) -> Vec<InstanceId> {
    let by_name: BTreeMap<&str, &HostEntry> =
        tables.host_list.iter().map(|entry| (entry.name.as_str(), entry)).collect();
    let configuration = Arc::clone(&tables.configuration.current);
    let mut own_entries = BTreeMap::new();
    for database in &configuration.databases {
        for (id, instance) in database.instance_ids().zip(&database.instances) {
            let name = format!("{}-{}", database.name, instance.name);
            if let Some((name, entry)) = by_name.get_key_value(name.as_str()) {
                own_entries.insert(id, (*name, entry.leaving));
            }
        }
    }
    let used: BTreeSet<&str> = own_entries.values().map(|&(name, _)| name).collect();
    let leaving_addresses: BTreeSet<_> = tables
        .host_list
        .iter()
        .filter(|entry| entry.leaving && !used.contains(entry.name.as_str()))
        .map(|entry| entry.address)
        .collect();
    let instances = configuration
        .databases
        .iter()
        .flat_map(|database| database.instance_ids().zip(&database.instances));
    let leaves = |id: &InstanceId, address| match own_entries.get(id) {
        Some(&(_, leaving)) => leaving,
        None => leaving_addresses.contains(&address),
    };
    instances.filter(|(id, i)| leaves(id, i.address.ip())).map(|(id, _)| id).collect()
}
