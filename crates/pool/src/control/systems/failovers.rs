//! Performs the failover of a primary.

use bytes::Bytes;
use flamingorock_core::Term;

use super::super::failover::{Failover, Stage};
use super::super::failover_kind::FailoverKind;
use super::super::replica_set_state::ReplicaSetState;
use super::super::tables::{Tables, display_name};
use super::super::{
    Action, PeerMessage, PromotionOutcome, PromotionRecord, PromotionState, StateChange,
};
use super::candidates::Choice;
use super::{candidates, claims, failover_store, stalled_failovers, stop_acks};
use crate::{InstanceCall, InstanceCommand, InstanceStatus, ReplicationRole};

/// Time after a claim was sent during which it may lead to a promotion call. A proxy that claims
/// next waits until this time is over.
pub const CLAIM_VALID_US: u64 = 2_500_000;
/// Time after which a promotion call is abandoned.
const PROMOTE_TIMEOUT_US: u64 = 1_500_000;
/// Allowance for different clock rates of two hosts and for messages in transit.
const CLOCK_MARGIN_US: u64 = 200_000;
/// Interval between polls of the candidates and between repeated broadcasts of the claim.
pub const POLL_US: u64 = 40_000;
/// Time after which an instance that has not become the primary is promoted again.
const AWAIT_PRIMARY_US: u64 = 3_000_000;
/// Time after which a promoted instance that still leads the term that it led before was the present
/// primary: longer than a promotion takes.
const UNCHANGED_PRIMARY_US: u64 = 2_000_000;
/// Time after which a status call is abandoned.
pub const STATUS_TIMEOUT_US: u64 = 300_000;
/// Time after which a call to the store is abandoned.
pub const STORE_TIMEOUT_US: u64 = 500_000;
/// Delay before a refused promotion call is retried.
const RETRY_US: u64 = 150_000;

pub fn run(tables: &mut Tables, now_us: u64) {
    let names: Vec<Bytes> = tables.replica_sets.keys().cloned().collect();
    for name in names {
        replace_abandoned_claim(tables, &name, now_us);
        failover_store::write_completion(tables, &name, now_us);
        stalled_failovers::run(tables, &name, now_us);
        advance(tables, &name, now_us);
    }
}

/// Claims the failover again if the holder of the claim has exceeded its time or has restarted.
fn replace_abandoned_claim(tables: &mut Tables, name: &Bytes, now_us: u64) {
    let Some(set) = tables.replica_sets.get(name) else { return };
    if set.failover.is_some() || tables.stopping.is_some() {
        return;
    }
    let Some(claim) = set.claim() else { return };
    let age_us = now_us.saturating_sub(claim.seen_us);
    let holder = &claim.record.holder;
    let is_restarted = match tables.members.get(holder) {
        Some(member) => member.incarnation > claim.record.holder_incarnation,
        None => {
            *holder == tables.config.name
                && claim.record.holder_incarnation != tables.config.incarnation
        }
    };
    let limit_us = CLAIM_VALID_US + PROMOTE_TIMEOUT_US + CLOCK_MARGIN_US;
    if is_restarted || age_us > limit_us {
        claims::claim_in_turn(
            tables,
            name,
            FailoverKind::PrimaryUnreachable,
            "the previous claim was not completed",
            now_us,
        );
    }
}

fn advance(tables: &mut Tables, name: &Bytes, now_us: u64) {
    let Some(failover) = tables.replica_sets.get(name).and_then(|set| set.failover.as_ref()) else {
        return;
    };
    if now_us < failover.next_step_us {
        return;
    }
    match failover.stage.clone() {
        Stage::Claiming | Stage::Promoting { .. } => {}
        Stage::Verifying => failover_store::read_back(tables, name, now_us),
        Stage::Preparing => prepare(tables, name, now_us),
        Stage::AwaitingPrimary { instance, since_us } => {
            await_primary(tables, name, &instance, since_us, now_us);
        }
    }
}

/// Applies a change to a failover together with its replica set; `None` if there is no failover.
pub fn with_failover<T>(
    tables: &mut Tables,
    name: &Bytes,
    change: impl FnOnce(&mut ReplicaSetState, &mut Failover) -> T,
) -> Option<T> {
    let set = tables.replica_sets.get_mut(name)?;
    let mut failover = set.failover.take()?;
    let result = change(set, &mut failover);
    set.failover = Some(failover);
    Some(result)
}

/// Sends the newest record to all other proxies except those listed.
pub fn broadcast(tables: &mut Tables, name: &Bytes, except: &[Bytes]) {
    let Some(record) = tables.replica_sets.get(name).and_then(|set| set.record.as_ref()) else {
        return;
    };
    let record = record.record.clone();
    for (member, row) in &tables.members {
        if !except.contains(member) {
            let message = PeerMessage::Record { replica_set: name.clone(), record: record.clone() };
            tables.actions.push(Action::Send { address: row.address, message });
        }
    }
}

/// Handles the status of a candidate or of the promoted instance.
pub fn status_received(
    tables: &mut Tables,
    call: &InstanceCall,
    status: InstanceStatus,
    now_us: u64,
) {
    let is_leading = with_failover(tables, &call.replica_set, |_, failover| {
        failover.statuses.retain(|(id, _)| *id != call.instance);
        failover.statuses.push((call.instance.clone(), status));
        failover.next_step_us = now_us;
        let is_promoted = matches!(
            &failover.stage, Stage::AwaitingPrimary { instance, .. } if *instance == call.instance
        );
        is_promoted && is_leading(failover, status, now_us)
    });
    if is_leading == Some(true) {
        complete(tables, &call.replica_set, call.instance.clone(), status.term, now_us);
    }
}

/// Whether the promoted instance leads. One that acted as a primary before may have been superseded
/// by a primary that this proxy does not know, until it leads a later term. If it was the present
/// primary, the promotion changes nothing.
fn is_leading(failover: &Failover, status: InstanceStatus, now_us: u64) -> bool {
    let Stage::AwaitingPrimary { since_us, .. } = failover.stage else { return false };
    let is_unchanged = status.term == failover.former_term;
    status.role == ReplicationRole::Primary
        && (status.term > failover.former_term
            || (is_unchanged && now_us > since_us + UNCHANGED_PRIMARY_US))
}

/// Promotes an instance once all proxies have stopped and enough candidates have responded.
fn prepare(tables: &mut Tables, name: &Bytes, now_us: u64) {
    let Some(failover) = with_failover(tables, name, |_, failover| {
        failover.next_step_us = now_us + POLL_US;
        failover.clone()
    }) else {
        return;
    };
    if now_us > failover.claimed_us + CLAIM_VALID_US {
        claims::drop_claim(tables, name, "the claim has expired");
        return claims::claim_again(tables, name, failover.kind, "the claim expired", now_us);
    }
    if !stop_acks::have_all_stopped(tables, name, &failover, now_us) {
        if now_us >= failover.next_poll_us {
            broadcast(tables, name, &failover.stopped_proxies);
        }
        candidates::ask(tables, name, &failover, now_us);
        return;
    }
    match candidates::choose(tables, name, &failover, now_us) {
        Choice::Promote(instance, status) => promote(tables, name, instance, status, now_us),
        Choice::Wait => candidates::ask(tables, name, &failover, now_us),
        Choice::Keep(old_primary) => complete(tables, name, old_primary, failover.term, now_us),
    }
}

fn promote(
    tables: &mut Tables,
    name: &Bytes,
    instance: Bytes,
    status: InstanceStatus,
    now_us: u64,
) {
    let Some((fencing_token, former_term)) = with_failover(tables, name, |_, failover| {
        failover.stage = Stage::Promoting { instance: instance.clone() };
        failover.former_term = match status.role {
            ReplicationRole::Primary => failover.term.max(status.term),
            ReplicationRole::Replica => failover.term,
        };
        (failover.fencing_token, failover.former_term)
    }) else {
        return;
    };
    tables.changes.push(StateChange::Promoting {
        replica_set: display_name(name),
        instance: display_name(&instance),
        fencing_token,
        received: status.received.to_string(),
    });
    for member in tables.members.values() {
        let message = PeerMessage::Promoting {
            replica_set: name.clone(),
            fencing_token,
            instance: instance.clone(),
            former_term,
        };
        tables.actions.push(Action::Send { address: member.address, message });
    }
    tables.actions.push(Action::Promote {
        replica_set: name.clone(),
        instance,
        fencing_token,
        deadline_us: now_us + PROMOTE_TIMEOUT_US,
    });
}

pub fn promotion_response_received(
    tables: &mut Tables,
    name: &Bytes,
    fencing_token: u64,
    outcome: PromotionOutcome,
    now_us: u64,
) {
    tables.changes.push(StateChange::PromotionAnswer {
        replica_set: display_name(name),
        fencing_token,
        outcome: format!("{outcome:?}"),
    });
    with_failover(tables, name, |_, failover| {
        let Stage::Promoting { instance } = &failover.stage else { return };
        if failover.fencing_token != fencing_token {
            return;
        }
        let instance = instance.clone();
        match outcome {
            PromotionOutcome::Accepted | PromotionOutcome::Unknown => {
                failover.stage = Stage::AwaitingPrimary { instance, since_us: now_us };
                failover.next_step_us = now_us;
            }
            PromotionOutcome::Refused => {
                // The instance is not running; another candidate is selected.
                failover.statuses.retain(|(id, _)| *id != instance);
                failover.stage = Stage::Preparing;
                failover.next_step_us = now_us + RETRY_US;
            }
            PromotionOutcome::Rejected => {
                failover.stage = Stage::Preparing;
                failover.next_step_us = now_us + RETRY_US;
            }
        }
    });
}

/// Whether instances may be polled now. If so, schedules the next poll.
pub fn start_poll(tables: &mut Tables, name: &Bytes, now_us: u64) -> bool {
    let is_due = with_failover(tables, name, |_, failover| {
        let is_due = now_us >= failover.next_poll_us;
        if is_due {
            failover.next_poll_us = now_us + POLL_US;
        }
        is_due
    });
    is_due == Some(true)
}

/// Polls the promoted instance until it is the primary.
fn await_primary(tables: &mut Tables, name: &Bytes, instance: &Bytes, since_us: u64, now_us: u64) {
    let Some(kind) = with_failover(tables, name, |_, failover| {
        failover.next_step_us = now_us + POLL_US;
        failover.kind
    }) else {
        return;
    };
    if now_us > since_us + AWAIT_PRIMARY_US {
        claims::drop_claim(tables, name, "the promoted instance has not become the primary");
        let reason = "the promotion had no effect";
        return claims::claim_again(tables, name, kind, reason, now_us);
    }
    if !start_poll(tables, name, now_us) {
        return;
    }
    tables.actions.push(Action::Call(InstanceCall {
        replica_set: name.clone(),
        instance: instance.clone(),
        command: InstanceCommand::Status,
        deadline_us: now_us + STATUS_TIMEOUT_US,
    }));
}

/// Completes a failover, with the promoted instance or with the old primary if no instance was
/// promoted. All proxies may use the primary at once: the store still has this claim, so a proxy
/// that claims next must wait until no proxy uses the primary. The completion is written as soon as
/// the store accepts it.
fn complete(tables: &mut Tables, name: &Bytes, instance: Bytes, term: Term, now_us: u64) {
    let done = with_failover(tables, name, |_, failover| {
        (failover.fencing_token, failover.revision, failover.old_primary.clone())
    });
    let Some((fencing_token, revision, old_primary)) = done else { return };
    if let Some(old_primary) = old_primary.filter(|old_primary| *old_primary != instance) {
        step_down(tables, name, old_primary, term, now_us);
    }
    let record = PromotionRecord {
        fencing_token,
        holder: tables.config.name.clone(),
        holder_incarnation: tables.config.incarnation,
        state: PromotionState::Done { instance, term },
    };
    failover_store::complete(tables, name, record, revision, "this proxy's failover", now_us);
}

/// Tells the old primary, which may not know it, that it has been replaced.
fn step_down(tables: &mut Tables, name: &Bytes, old_primary: Bytes, term: Term, now_us: u64) {
    tables.actions.push(Action::Call(InstanceCall {
        replica_set: name.clone(),
        instance: old_primary,
        command: InstanceCommand::StepDown(term),
        deadline_us: now_us + STATUS_TIMEOUT_US,
    }));
}
