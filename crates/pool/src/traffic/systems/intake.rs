//! Applies the events that arrived since the last tick.

use super::super::Event;
use super::super::tables::{Due, Stopping, Tables};
use super::{answers, configuration, connections, losses, sessions, upkeep};

pub fn run(tables: &mut Tables, now_us: u64) {
    let mut events = core::mem::take(&mut tables.events);
    for event in events.drain(..) {
        apply(tables, event, now_us);
    }
    // The buffer is kept for the next tick.
    if tables.events.is_empty() {
        tables.events = events;
    }
}

fn apply(tables: &mut Tables, event: Event, now_us: u64) {
    match event {
        Event::SessionStart { session, database } => {
            sessions::start(tables, session, database, now_us);
        }
        Event::Query { session, query } => sessions::receive(tables, session, query, now_us),
        Event::SessionClosed { session } => sessions::leave(tables, session, now_us),
        Event::Connected { connection } => connections::connected(tables, connection, now_us),
        Event::ConnectionStarted { connection, position } => {
            connections::started(tables, connection, position, now_us);
        }
        Event::ConnectionRefused { connection, code } => {
            connections::refused(tables, connection, code, now_us);
        }
        Event::Response { connection, response } => {
            answers::receive(tables, connection, response, now_us);
        }
        Event::ConnectionLost { connection } => losses::lose(tables, connection, now_us),
        Event::View(view) => configuration::apply(tables, view, now_us),
        Event::InstanceCall(call) => tables.group_calls.push(call),
        Event::ProbePrimary { replica_set } => upkeep::probe_primary(tables, &replica_set, now_us),
        Event::Stop { close_idle_us, abort_us } => {
            tables.stopping = Some(Stopping { close_idle_us, abort_us, reported: false });
            tables.due.add(close_idle_us, Due::Systems);
            tables.due.add(abort_us, Due::Systems);
        }
    }
}
