//! Tells proxies that lack the store about the instances.
//!
//! Answers the load of a host that the store turns away while the instances of a set are replaced: it
//! hears from the others which one leads, but its address is in the store only.

use bytes::Bytes;

use super::super::replica_set_state::KnownInstance;
use super::super::tables::Tables;
use super::super::{Action, Heartbeat, PeerMessage};
use super::mirror;
use crate::{InstanceEntry, rendezvous};

/// Proxies that tell one that lacks the store, on average.
const RELAYS: u32 = 2;

/// Sends the instances of every set to a proxy that lacks the store.
pub fn send_instances(tables: &mut Tables, heartbeat: &Heartbeat, now_us: u64) {
    if !heartbeat.lacks_store || tables.mirror.is_lost || !is_relay(tables, heartbeat, now_us) {
        return;
    }
    let Some(member) = tables.members.get(&heartbeat.from) else { return };
    for (name, set) in &tables.sets {
        let present = set.instances.values().filter(|row| row.missing_since_us.is_none());
        let entries: Vec<InstanceEntry> = present.map(|row| row.entry.clone()).collect();
        let message = PeerMessage::Instances { replica_set: name.clone(), entries };
        tables.actions.push(Action::Send { address: member.address, message });
    }
}

fn is_relay(tables: &Tables, heartbeat: &Heartbeat, now_us: u64) -> bool {
    let size = u32::try_from(tables.fleet_size(now_us)).unwrap_or(u32::MAX);
    size <= RELAYS + 1
        || rendezvous::is_selected(&heartbeat.from, &tables.config.name, RELAYS, size)
}

/// Another proxy tells the instances of a set. The own store goes before it.
pub fn receive(tables: &mut Tables, name: &Bytes, entries: Vec<InstanceEntry>, now_us: u64) {
    if !tables.mirror.is_lost {
        return;
    }
    for entry in entries.into_iter().filter(|entry| entry.replica_set == *name) {
        let known = tables.sets.get(name).and_then(|set| set.instances.get(&entry.id));
        if known.is_none_or(|known| is_newer(&entry, known)) {
            mirror::apply_instance(tables, entry, now_us);
        }
    }
}

/// Whether an entry is newer: a start under the same id only comes later, and leaving has no way back.
fn is_newer(entry: &InstanceEntry, known: &KnownInstance) -> bool {
    let order = |entry: &InstanceEntry| (entry.started_unix_ms, entry.is_leaving);
    order(entry) > order(&known.entry)
}
