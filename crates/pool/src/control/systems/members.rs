//! Tracks the other proxies: those that are registered in the store, and those that are heard.

use bytes::Bytes;

use super::super::member::Member;
use super::super::tables::{Tables, display_name};
use super::super::{Heartbeat, MemberRecord, StateChange};
use super::registration;

/// How long a departed proxy that is not a member is still sent heartbeats.
const DEPARTED_RETENTION_US: u64 = 3_000_000;

/// Handles a member record in the store.
pub fn register(tables: &mut Tables, name: Bytes, record: MemberRecord, now_us: u64) {
    if name == tables.config.name {
        return;
    }
    let present = tables
        .members
        .get(&name)
        .filter(|member| {
            member.incarnation == record.incarnation && member.address == record.peer_address
        })
        .is_some();
    if !present {
        tables.changes.push(StateChange::MemberFound {
            name: display_name(&name),
            incarnation: record.incarnation,
        });
        let member = match tables.members.get(&name) {
            Some(known) => known.restarted(record.peer_address, record.incarnation),
            None => Member::new(record.peer_address, record.incarnation),
        };
        tables.members.insert(name.clone(), member);
        tables.is_view_outdated = true;
    }
    if let Some(member) = tables.members.get_mut(&name) {
        member.is_registered = true;
        if !present {
            member.extra_heartbeat_due_us = Some(now_us);
        }
    }
}

/// Handles the removal of a member record from the store.
pub fn unregister(tables: &mut Tables, name: &Bytes, now_us: u64) {
    if *name == tables.config.name {
        return registration::member_record_removed(tables);
    }
    if let Some(member) = tables.members.get_mut(name) {
        member.is_registered = false;
        member.unregistered_us = now_us;
        tables.is_view_outdated = true;
    }
}

/// Adds the sender if it is unknown. The fleet may have dropped it while it was suspended, and
/// while the store is unavailable only its heartbeats can bring it back.
pub fn add_sender(tables: &mut Tables, heartbeat: &Heartbeat) {
    if tables.members.contains_key(&heartbeat.from) || heartbeat.from == tables.config.name {
        return;
    }
    tables.changes.push(StateChange::MemberFound {
        name: display_name(&heartbeat.from),
        incarnation: heartbeat.incarnation,
    });
    let member = Member::new(heartbeat.address, heartbeat.incarnation);
    tables.members.insert(heartbeat.from.clone(), member);
    tables.is_view_outdated = true;
}

/// Removes proxies that are neither members, nor registered, nor in contact.
pub fn run(tables: &mut Tables, now_us: u64) {
    let before = tables.members.len();
    let changes = &mut tables.changes;
    let record = tables.membership.record.as_ref();
    tables.members.retain(|name, member| {
        let is_kept = member.is_present(now_us)
            || now_us < member.departed_us() + DEPARTED_RETENTION_US
            || record.is_some_and(|record| record.contains(name));
        if !is_kept {
            changes.push(StateChange::MemberLost { name: display_name(name) });
        }
        is_kept
    });
    if tables.members.len() != before {
        tables.is_view_outdated = true;
    }
}
