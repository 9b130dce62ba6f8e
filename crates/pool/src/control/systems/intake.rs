//! Applies the events that have arrived since the last tick.

use super::super::replica_set_state::AnnouncedPromotion;
use super::super::tables::{Tables, display_name};
use super::super::{Event, PeerMessage, StateChange, StoreCall, StoreResponse};
use super::stop_acks::{self, StopAck};
use super::store_contact::{self, Contact};
use super::{
    detection, directory, failover_store, failovers, heartbeats, instance_relay,
    membership_changes, mirror, records, registration, replica_lag, search, shutdown,
    stalled_failovers,
};
use crate::traffic::Report;
use crate::{InstanceCallOutcome, InstanceCallResult};

pub fn run(tables: &mut Tables, now_us: u64) {
    for event in core::mem::take(&mut tables.events) {
        apply(tables, event, now_us);
    }
}

fn apply(tables: &mut Tables, event: Event, now_us: u64) {
    match event {
        Event::Store(response) => apply_store(tables, *response, now_us),
        Event::Promotion { replica_set, fencing_token, outcome } => {
            failovers::promotion_response_received(
                tables,
                &replica_set,
                fencing_token,
                outcome,
                now_us,
            );
        }
        Event::Peer(message) => apply_peer(tables, message, now_us),
        Event::Report(report) => apply_report(tables, report, now_us),
        Event::Stop => shutdown::start(tables, now_us),
    }
}

fn apply_store(tables: &mut Tables, response: StoreResponse, now_us: u64) {
    if store_contact::record_contact(tables, &response, now_us) == Contact::Regained {
        mirror::restart_watch_sent_before(tables, response.sent_us, now_us);
    }
    match &response.call {
        StoreCall::List { .. } | StoreCall::Watch { .. } => {
            mirror::response_received(tables, response, now_us);
        }
        StoreCall::GrantLease { .. }
        | StoreCall::RenewLease { .. }
        | StoreCall::RevokeLease { .. }
        | StoreCall::WriteMember { .. } => {
            registration::response_received(tables, response, now_us)
        }
        StoreCall::WriteMembership { record, .. } => {
            let (record, outcome) = (record.clone(), response.outcome);
            membership_changes::write_response_received(tables, record, outcome, now_us);
        }
        StoreCall::WriteDirectory { .. } => {
            directory::write_response_received(tables, response, now_us)
        }
        StoreCall::ReadPromotion { .. } | StoreCall::WritePromotion { .. } => {
            failover_store::response_received(tables, response, now_us);
        }
    }
}

fn apply_peer(tables: &mut Tables, message: PeerMessage, now_us: u64) {
    match message {
        PeerMessage::Heartbeat(heartbeat) => heartbeats::receive(tables, heartbeat, now_us),
        PeerMessage::Record { replica_set, record } => {
            records::apply(tables, &replica_set, record, 0, "another proxy", now_us);
            records::acknowledge_claim(tables, &replica_set, now_us);
        }
        PeerMessage::Primary { replica_set, instance, term } => {
            search::primary_named(tables, &replica_set, &instance, term, "another proxy", now_us);
        }
        PeerMessage::Promoting { replica_set, fencing_token, instance, former_term } => {
            let announced = AnnouncedPromotion { fencing_token, instance, former_term };
            stalled_failovers::promotion_announced(tables, &replica_set, announced);
        }
        PeerMessage::Instances { replica_set, entries } => {
            instance_relay::receive(tables, &replica_set, entries, now_us);
        }
        PeerMessage::StopAck {
            from,
            replica_set,
            fencing_token,
            position,
            epoch,
            silent_peers,
        } => {
            let ack = StopAck { from, position, epoch, silent_peers };
            stop_acks::received(tables, ack, &replica_set, fencing_token, now_us);
        }
    }
}

fn apply_report(tables: &mut Tables, report: Report, now_us: u64) {
    match report {
        Report::PrimaryAlive { replica_set, instance, at_us, position } => {
            detection::primary_reached(tables, &replica_set, &instance, at_us, position, now_us);
        }
        Report::PrimaryUnreachable { replica_set, instance, since_us } => {
            detection::primary_unreachable(tables, &replica_set, &instance, since_us);
        }
        Report::PrimaryQuiescent { replica_set, term, position } => {
            records::primary_quiesced(tables, &replica_set, term, position, now_us);
        }
        Report::NotPrimary { replica_set, instance } => {
            search::primary_refused(tables, &replica_set, &instance, now_us);
        }
        Report::ReplicaStateChanged { replica_set, instance, state, lag_ms, failure_permille } => {
            tables.changes.push(StateChange::Replica {
                replica_set: display_name(&replica_set),
                instance: display_name(&instance),
                state,
                lag_ms: lag_ms.map_or_else(|| "unknown".to_owned(), |ms| ms.to_string()),
                failure_permille,
            });
        }
        Report::PrimaryOverloaded { replica_set, term } => {
            replica_lag::start_check(tables, &replica_set, term, now_us);
        }
        Report::InstanceCallResult(InstanceCallResult { call, outcome }) => {
            if let InstanceCallOutcome::Status(status) = outcome {
                search::status_received(tables, &call, status, now_us);
                failovers::status_received(tables, &call, status, now_us);
                stalled_failovers::status_received(tables, &call, status, now_us);
                replica_lag::status_received(tables, &call, status, now_us);
            }
        }
        Report::Stopped => shutdown::sessions_ended(tables),
    }
}
