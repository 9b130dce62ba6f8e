//! Sends calls of the control state machine to instances.

use super::super::connection::Outstanding;
use super::super::tables::{Tables, Timer};
use super::super::{Command, Report, Response};
use super::connections;
use crate::{InstanceCall, InstanceCallOutcome, InstanceCallResult, InstanceCommand};

/// Sends the calls for which an idle connection is available.
pub fn run(tables: &mut Tables, now_us: u64) {
    for call in core::mem::take(&mut tables.instance_calls) {
        start(tables, call, now_us);
    }
}

fn start(tables: &mut Tables, call: InstanceCall, now_us: u64) {
    let Some(key) = tables.instance_by_id(&call.instance) else {
        return finish(tables, call, InstanceCallOutcome::Unreachable);
    };
    if call.deadline_us <= now_us {
        return finish(tables, call, InstanceCallOutcome::Unreachable);
    }
    if let Some(connection) = tables.idle_connection(key, &[]) {
        let command = match call.command {
            InstanceCommand::Status => Command::Status,
            InstanceCommand::StepDown(term) => Command::StepDown(term),
        };
        tables.timers.add(call.deadline_us, Timer::Wakeup);
        return tables.send(connection, Outstanding::InstanceCall(call), command, now_us);
    }
    let Some(instance) = tables.instances.get(key) else { return };
    if instance.is_unreachable {
        return finish(tables, call, InstanceCallOutcome::Unreachable);
    }
    if tables.opening_connections(instance) == 0 {
        connections::open(tables, key, now_us);
    }
    tables.timers.add(call.deadline_us, Timer::Wakeup);
    tables.instance_calls.push(call);
}

pub fn handle_response(tables: &mut Tables, call: InstanceCall, response: &Response) {
    let outcome = match response.instance_status {
        Some(status) => InstanceCallOutcome::Status(status),
        None => InstanceCallOutcome::Refused,
    };
    finish(tables, call, outcome);
}

/// Reports the outcome of a call to the control state machine.
pub fn finish(tables: &mut Tables, call: InstanceCall, outcome: InstanceCallOutcome) {
    tables.reports.push(Report::InstanceCallResult(InstanceCallResult { call, outcome }));
}
