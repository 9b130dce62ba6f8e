//! Fetches a newer configuration document from a peer, so that hosts catch up while the key-value
//! service is unreachable.

use crate::HostId;
use crate::control::Action;
use crate::control::tables::{HostState, Tables};
use crate::message::ControlMessage;

/// Time that a peer gets to respond before another request is sent, to a different peer if
/// possible.
const RESPONSE_TIMEOUT_US: u64 = 1_000_000;

pub(crate) fn run(tables: &mut Tables) {
    let now_us = tables.now_us;
    if tables.timers.configuration_fetch.take_expired(now_us).is_empty() {
        return;
    }
    if let Some((_, deadline_us)) = tables.configuration.fetch
        && now_us < deadline_us
    {
        tables.timers.configuration_fetch.set((), deadline_us);
        return;
    }
    let Some(to) = newest_peer(tables) else {
        tables.configuration.fetch = None;
        return;
    };
    let deadline_us = now_us + RESPONSE_TIMEOUT_US;
    tables.configuration.fetch = Some((to, deadline_us));
    tables.timers.configuration_fetch.set((), deadline_us);
    let message = ControlMessage::ConfigurationRequest;
    tables.actions.push(Action::SendMessage { to, message });
}

/// The live peer with the highest acceptable version. Among equals, a peer that has not just failed
/// to respond is preferred.
fn newest_peer(tables: &Tables) -> Option<HostId> {
    let asked = tables.configuration.fetch.map(|(host, _)| host);
    tables
        .hosts
        .iter()
        .filter(|(_, row)| row.state == HostState::Alive)
        .filter(|(_, row)| tables.configuration.would_accept(row.configuration_version))
        .max_by_key(|&(host, row)| (row.configuration_version, Some(host) != asked))
        .map(|(host, _)| host)
}
