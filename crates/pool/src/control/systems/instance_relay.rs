//! Forwards instances to proxies that cannot reach the store.
//!
//! This covers a proxy that the store refuses to serve while the instances of a replica set are
//! being replaced: the other proxies tell it which instance is the primary, but only the store has
//! the instance's address.

use bytes::Bytes;

use super::super::replica_set_state::KnownInstance;
use super::super::tables::Tables;
use super::super::{Action, Heartbeat, PeerMessage};
use super::store_items;
use crate::{InstanceEntry, rendezvous};

/// Average number of proxies that send the instances to one that cannot reach the store.
const RELAYS: u32 = 2;

/// Sends the instances of every replica set to a proxy that cannot reach the store.
pub fn send_instances(tables: &mut Tables, heartbeat: &Heartbeat, now_us: u64) {
    if !heartbeat.is_store_unreachable
        || tables.mirror.is_store_unreachable
        || !is_relay(tables, heartbeat, now_us)
    {
        return;
    }
    let Some(member) = tables.members.get(&heartbeat.from) else { return };
    let mut messages = Vec::new();
    for name in tables.configured_sets() {
        let Some(set) = tables.replica_sets.get(name) else { continue };
        let present = set.instances.values().filter(|row| row.missing_since_us.is_none());
        let entries: Vec<InstanceEntry> = present.map(|row| row.entry.clone()).collect();
        let message = PeerMessage::Instances { replica_set: name.clone(), entries };
        messages.push(Action::Send { address: member.address, message });
    }
    tables.actions.append(&mut messages);
}

fn is_relay(tables: &Tables, heartbeat: &Heartbeat, now_us: u64) -> bool {
    let size = u32::try_from(tables.fleet_size(now_us)).unwrap_or(u32::MAX);
    size <= RELAYS + 1
        || rendezvous::is_selected(&heartbeat.from, &tables.config.name, RELAYS, size)
}

/// Applies instances that another proxy has sent, unless this proxy reaches the store.
pub fn receive(tables: &mut Tables, name: &Bytes, entries: Vec<InstanceEntry>, now_us: u64) {
    if !tables.mirror.is_store_unreachable {
        return;
    }
    for entry in entries.into_iter().filter(|entry| entry.replica_set == *name) {
        let known = tables.replica_sets.get(name).and_then(|set| set.instances.get(&entry.id));
        if known.is_none_or(|known| is_newer(&entry, known)) {
            store_items::apply_instance(tables, entry, now_us);
        }
    }
}

/// Whether an entry is newer than the known one. Under one id the start time only increases, and a
/// leaving instance does not become ready again.
fn is_newer(entry: &InstanceEntry, known: &KnownInstance) -> bool {
    let order = |entry: &InstanceEntry| (entry.started_unix_ms, entry.is_leaving);
    order(entry) > order(&known.entry)
}
