//! Applies items that were read from the store.

use std::collections::BTreeSet;
use std::sync::Arc;

use bytes::Bytes;

use super::super::replica_set_state::{KnownInstance, ReplicaSetState};
use super::super::tables::{Tables, display_name};
use super::super::{StateChange, StoreContent, StoreItem, StoreKey};
use super::{directory, members, membership, records};

/// Applies the removal of items that a complete read did not return.
pub fn remove_unlisted(tables: &mut Tables, now_us: u64) {
    let listed_keys: BTreeSet<StoreKey> =
        core::mem::take(&mut tables.mirror.listed_keys).into_iter().collect();
    let is_listed = |key: StoreKey| listed_keys.contains(&key);
    let mut missing: Vec<StoreKey> = tables
        .members
        .iter()
        .filter(|(_, member)| member.is_registered)
        .map(|(name, _)| StoreKey::Member(name.clone()))
        .filter(|key| !is_listed(key.clone()))
        .collect();
    let own = StoreKey::Member(tables.config.name.clone());
    if tables.registration.is_written && !is_listed(own.clone()) {
        missing.push(own);
    }
    let instances = tables.replica_sets.values().flat_map(|set| set.instances.keys());
    missing.extend(
        instances.map(|id| StoreKey::Instance(id.clone())).filter(|key| !is_listed(key.clone())),
    );
    for key in missing {
        apply(tables, StoreItem { key, revision: 0, content: StoreContent::Removed }, now_us);
    }
}

/// Applies the present content of an item.
pub fn apply(tables: &mut Tables, item: StoreItem, now_us: u64) {
    tables.mirror.newest_revision = tables.mirror.newest_revision.max(item.revision);
    match (item.key, item.content) {
        (_, StoreContent::Configuration(configuration)) => {
            apply_configuration(tables, configuration);
        }
        (_, StoreContent::Instance(entry)) => apply_instance(tables, entry, now_us),
        (StoreKey::Member(name), StoreContent::Member(record)) => {
            members::register(tables, name, record, now_us);
        }
        (StoreKey::Promotion(set), StoreContent::Promotion(record)) => {
            records::apply(tables, &set, record, item.revision, "the store", now_us);
            records::acknowledge_claim(tables, &set, now_us);
        }
        (StoreKey::Directory(set), StoreContent::Directory(record)) => {
            directory::apply(tables, &set, record, item.revision);
        }
        (_, StoreContent::Membership(record)) => {
            membership::apply_stored(tables, record, item.revision, now_us);
        }
        (StoreKey::Membership, StoreContent::Removed) => {
            membership::lost_in_store(tables, item.revision, false, now_us);
        }
        (StoreKey::Member(name), StoreContent::Removed) => {
            members::unregister(tables, &name, now_us);
        }
        (StoreKey::Instance(id), StoreContent::Removed) => {
            mark_instance_missing(tables, &id, now_us)
        }
        (key, StoreContent::Unreadable { reason }) => {
            // An entry that cannot be decoded names no usable instance.
            match &key {
                StoreKey::Instance(id) => mark_instance_missing(tables, id, now_us),
                StoreKey::Membership => {
                    membership::lost_in_store(tables, item.revision, true, now_us);
                }
                _ => {}
            }
            tables.changes.push(StateChange::UnreadableItem { key: format!("{key:?}"), reason });
        }
        _ => {}
    }
}

fn apply_configuration(tables: &mut Tables, configuration: crate::Configuration) {
    if configuration.version <= tables.configuration.version {
        return;
    }
    tables.changes.push(StateChange::Configuration {
        version: configuration.version,
        former: tables.configuration.version,
    });
    tables.configuration = Arc::new(configuration);
    tables.is_view_outdated = true;
    tables.is_gossip_due = true;
}

/// Applies the entry of an instance.
pub fn apply_instance(tables: &mut Tables, entry: crate::InstanceEntry, now_us: u64) {
    let set = tables
        .replica_sets
        .entry(entry.replica_set.clone())
        .or_insert_with(|| ReplicaSetState::new(now_us));
    let known = set.instances.get(&entry.id);
    let is_changed =
        known.is_none_or(|known| known.entry != entry || known.missing_since_us.is_some());
    if is_changed {
        tables.changes.push(StateChange::InstanceFound {
            instance: display_name(&entry.id),
            replica_set: display_name(&entry.replica_set),
            is_leaving: entry.is_leaving,
        });
        let (id, replica_set) = (entry.id.clone(), entry.replica_set.clone());
        set.instances.insert(id.clone(), KnownInstance { entry, missing_since_us: None });
        tables.is_view_outdated = true;
        mark_missing(tables, &id, now_us, |name| *name != replica_set);
    }
}

fn mark_instance_missing(tables: &mut Tables, id: &Bytes, now_us: u64) {
    mark_missing(tables, id, now_us, |_| true);
}

/// Marks an instance as missing in the replica sets that `is_affected` selects.
fn mark_missing(
    tables: &mut Tables,
    id: &Bytes,
    now_us: u64,
    is_affected: impl Fn(&Bytes) -> bool,
) {
    for (name, set) in &mut tables.replica_sets {
        if let Some(instance) = set.instances.get_mut(id).filter(|_| is_affected(name)) {
            instance.missing_since_us.get_or_insert(now_us);
        }
    }
}
