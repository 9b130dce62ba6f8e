//! Owner side: probes of instances.

use crate::traffic::database_state::DatabaseState;
use crate::traffic::instance_state::{InstanceState, ProbeInFlight};
use crate::traffic::tables::Tables;
use crate::traffic::{Action, DispatchPolicy, ProbeFailure};
use crate::{InstanceId, InstanceReport};

/// Time after which a probe fails with a timeout.
const PROBE_TIMEOUT_US: u64 = 300_000;
/// Interval of probes of an active database while nothing waits for a probe.
const ACTIVE_INTERVAL_US: u64 = 100_000;
/// Time after the last request for which a database is considered active.
const ACTIVE_TIME_US: u64 = 1_000_000;
/// Interval of probes of an instance that does not confirm the term.
const FAILING_INTERVAL_US: u64 = 50_000;
/// Resolution of the timeouts of the I/O layer's poller.
const POLL_RESOLUTION_US: u64 = 1_000;
/// Minimum interval of probes while requests wait for a lagging replica.
const LAGGING_INTERVAL_US: u64 = 1_000;
/// Maximum interval of probes while requests wait for a lagging replica.
const LAGGING_INTERVAL_LIMIT_US: u64 = 20_000;

/// Sends the probes that are due.
pub(crate) fn probe<P: DispatchPolicy>(tables: &mut Tables<P>) {
    let Tables { databases, actions, next_probe_number, now_us, .. } = tables;
    for database in databases.values_mut() {
        for index in 0..database.instances.len() {
            if next_probe_us(database, index).is_none_or(|due_us| due_us > *now_us) {
                continue;
            }
            let number = *next_probe_number;
            *next_probe_number += 1;
            let instance = &mut database.instances[index];
            instance.probe = Some(ProbeInFlight { number, sent_us: *now_us });
            instance.last_probe_sent_us = *now_us;
            actions.push(Action::Probe {
                instance: instance.id,
                probe_number: number,
                deadline_us: *now_us + PROBE_TIMEOUT_US,
            });
        }
    }
}

/// Time of the next probe of an instance; `None` if a probe is in flight or none is needed.
pub(super) fn next_probe_us<P: DispatchPolicy>(
    database: &DatabaseState<P>,
    index: usize,
) -> Option<u64> {
    let instance = &database.instances[index];
    if instance.probe.is_some() || database.primary().is_none() {
        return None;
    }
    let interval_us = if instance.unconfirmed_since_us.is_some() {
        FAILING_INTERVAL_US
    } else if database.awaits_probes() {
        waiting_interval_us(database, instance)
    } else {
        ACTIVE_INTERVAL_US
    };
    let due_us = instance.last_probe_sent_us + interval_us;
    let active_until_us = database.last_request_us + ACTIVE_TIME_US;
    (database.awaits_probes() || due_us <= active_until_us).then_some(due_us)
}

/// Interval while requests wait for probes. A probe that was sent before the newest of them began
/// to wait cannot satisfy it, so the next one is sent immediately. Later ones wait for a lagging
/// replica, and their interval grows with the waiting time.
fn waiting_interval_us<P: DispatchPolicy>(
    database: &DatabaseState<P>,
    instance: &InstanceState,
) -> u64 {
    match instance.last_probe_sent_us.checked_sub(database.newest_wait_us) {
        None => 0,
        // The poller rounds timeouts up to whole milliseconds, which would cost more than a probe.
        Some(waited_us) if waited_us < POLL_RESOLUTION_US => 0,
        Some(waited_us) => (waited_us / 4).clamp(LAGGING_INTERVAL_US, LAGGING_INTERVAL_LIMIT_US),
    }
}

/// Records the result of a probe, and reports an epoch later than the current term's.
pub(super) fn record_probe<P: DispatchPolicy>(
    tables: &mut Tables<P>,
    id: InstanceId,
    probe_number: u64,
    result: Result<InstanceReport, ProbeFailure>,
) {
    let now_us = tables.now_us;
    let Some(database) = tables.databases.get_mut(&id.database) else { return };
    let term = database.served.term;
    let Some(instance) = database.instances.get_mut(usize::from(id.index)) else { return };
    instance.record_probe(probe_number, result, term, now_us);
    let Ok(report) = result else { return };
    let epoch = report.accepted_term.epoch();
    if report.accepted_term > term && epoch > database.reported_epoch {
        database.reported_epoch = epoch;
        tables.actions.push(Action::ReportSuperseded { database: id.database, epoch });
    }
}
