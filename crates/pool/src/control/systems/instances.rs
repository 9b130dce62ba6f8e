//! Removes instances whose entries are missing from the store.

use std::sync::Arc;

use bytes::Bytes;

use super::super::StateChange;
use super::super::known_primary::KnownPrimary;
use super::super::tables::{Tables, display_name};

/// Time after which an instance without an entry is removed. Entries that expired while the store
/// was unavailable return about two seconds after the store does.
const MISSING_US: u64 = 2_600_000;

pub fn run(tables: &mut Tables, now_us: u64) {
    // Only time during which the store responds counts.
    let contact_us = now_us.saturating_sub(tables.mirror.contact_since_us);
    if tables.mirror.is_store_unreachable || contact_us < MISSING_US {
        return;
    }
    let mut gone: Vec<(Bytes, Bytes)> = Vec::new();
    for (name, set) in &tables.replica_sets {
        let primary = set.primary().map(|(instance, _)| instance.clone());
        for (id, instance) in &set.instances {
            let since_us = instance.missing_since_us;
            let is_over = since_us.is_some_and(|since_us| now_us >= since_us + MISSING_US);
            // A primary is replaced before it is removed.
            if is_over && (primary.as_ref() != Some(id) || set.unreachable_since_us.is_some()) {
                gone.push((name.clone(), id.clone()));
            }
        }
    }
    for (name, id) in gone {
        remove(tables, &name, &id);
    }
    search_missing_primaries(tables, now_us);
    drop_empty(tables);
}

fn remove(tables: &mut Tables, name: &Bytes, id: &Bytes) {
    let Some(set) = tables.replica_sets.get_mut(name) else { return };
    if matches!(&set.known_primary, KnownPrimary::Leader { instance, .. } if instance == id) {
        // It remains the primary until the failover; it is unreachable already.
        return;
    }
    set.instances.remove(id);
    tables.changes.push(StateChange::InstanceGone {
        instance: display_name(id),
        replica_set: display_name(name),
    });
    tables.is_view_outdated = true;
}

/// Starts a search if the known primary has no entry: it may have been replaced while no proxy was
/// running.
fn search_missing_primaries(tables: &mut Tables, now_us: u64) {
    for (name, set) in &mut tables.replica_sets {
        let KnownPrimary::Leader { instance, .. } = &set.known_primary else { continue };
        if set.instances.contains_key(instance) || set.instances.is_empty() || set.is_replacing() {
            continue;
        }
        set.known_primary = KnownPrimary::Unknown { since_us: now_us };
        set.unreachable_since_us = None;
        tables.changes.push(StateChange::PrimaryUnknown {
            replica_set: display_name(name),
            reason: "the primary has no entry in the store",
        });
        tables.is_view_outdated = true;
    }
}

/// Removes replica sets that neither the configuration nor any instance names.
fn drop_empty(tables: &mut Tables) {
    let configuration = Arc::clone(&tables.configuration);
    tables.replica_sets.retain(|name, set| {
        !set.instances.is_empty()
            || set.fencing_token() > 0
            || configuration.replica_sets.iter().any(|rule| rule.name == *name)
    });
}
