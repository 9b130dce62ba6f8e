//! Calls that the control machine makes at instances.

use super::super::connection::Outstanding;
use super::super::tables::{Due, Tables};
use super::super::{Command, Report, Response};
use super::connections;
use crate::{InstanceCall, InstanceCallOutcome, InstanceCallResult, InstanceCommand};

/// Sends the calls that find an idle connection.
pub fn run(tables: &mut Tables, now_us: u64) {
    for call in core::mem::take(&mut tables.group_calls) {
        make(tables, call, now_us);
    }
}

fn make(tables: &mut Tables, call: InstanceCall, now_us: u64) {
    let Some(key) = tables.instance_named(&call.instance) else {
        return end(tables, call, InstanceCallOutcome::Unreachable);
    };
    if call.deadline_us <= now_us {
        return end(tables, call, InstanceCallOutcome::Unreachable);
    }
    if let Some(connection) = tables.idle_connection(key, &[]) {
        let command = match call.command {
            InstanceCommand::Status => Command::Status,
            InstanceCommand::StepDown(term) => Command::StepDown(term),
        };
        tables.due.add(call.deadline_us, Due::Systems);
        return tables.send(connection, Outstanding::Group(call), command, now_us);
    }
    let Some(instance) = tables.instances.get(key) else { return };
    if instance.is_lost {
        return end(tables, call, InstanceCallOutcome::Unreachable);
    }
    if tables.opening(instance) == 0 {
        connections::open(tables, key, now_us);
    }
    tables.due.add(call.deadline_us, Due::Systems);
    tables.group_calls.push(call);
}

pub fn answered(tables: &mut Tables, call: InstanceCall, response: &Response) {
    let outcome = match response.instance_status {
        Some(status) => InstanceCallOutcome::Status(status),
        None => InstanceCallOutcome::Refused,
    };
    end(tables, call, outcome);
}

/// Tells the control machine what came of a call.
pub fn end(tables: &mut Tables, call: InstanceCall, outcome: InstanceCallOutcome) {
    tables.reports.push(Report::InstanceCallResult(InstanceCallResult { call, outcome }));
}
