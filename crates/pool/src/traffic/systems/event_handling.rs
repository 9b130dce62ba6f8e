//! Applies the events queued since the last tick.

use super::super::Event;
use super::super::tables::{Shutdown, Tables, Timer};
use super::{configuration, connection_loss, connections, maintenance, responses, sessions};

pub fn run(tables: &mut Tables, now_us: u64) {
    let mut events = core::mem::take(&mut tables.events);
    for event in events.drain(..) {
        apply(tables, event, now_us);
    }
    // Keeps the allocated buffer for the next tick.
    if tables.events.is_empty() {
        tables.events = events;
    }
}

fn apply(tables: &mut Tables, event: Event, now_us: u64) {
    match event {
        Event::SessionStart { session, database } => {
            sessions::start(tables, session, database, now_us);
        }
        Event::Query { session, query } => sessions::handle_query(tables, session, query, now_us),
        Event::SessionClosed { session } => sessions::close(tables, session, now_us),
        Event::Connected { connection } => {
            connections::handle_connected(tables, connection, now_us)
        }
        Event::ConnectionStarted { connection, position } => {
            connections::handle_started(tables, connection, position, now_us);
        }
        Event::ConnectionRefused { connection, code } => {
            connections::handle_refused(tables, connection, code, now_us);
        }
        Event::Response { connection, response } => {
            responses::handle(tables, connection, response, now_us);
        }
        Event::ConnectionLost { connection } => {
            connection_loss::handle_loss(tables, connection, now_us)
        }
        Event::View(view) => configuration::apply(tables, view, now_us),
        Event::InstanceCall(call) => tables.instance_calls.push(call),
        Event::ProbePrimary { replica_set } => {
            maintenance::probe_primary(tables, &replica_set, now_us)
        }
        Event::PrimaryPosition { replica_set, term, at_us, position } => {
            connections::record_shared_position(tables, &replica_set, term, at_us, position);
        }
        Event::Stop { close_idle_us, abort_us } => {
            tables.shutdown = Some(Shutdown { close_idle_us, abort_us, reported: false });
            tables.timers.add(close_idle_us, Timer::Wakeup);
            tables.timers.add(abort_us, Timer::Wakeup);
        }
    }
}
