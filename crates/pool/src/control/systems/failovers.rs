//! Carries the replacement of a primary out.

use bytes::Bytes;
use flamingorock_core::Term;

use super::super::failover::{Failover, Stage};
use super::super::failover_kind::FailoverKind;
use super::super::replica_set_state::ReplicaSetState;
use super::super::tables::{Tables, text};
use super::super::{
    Action, PeerMessage, PromotionOutcome, PromotionRecord, PromotionState, StateChange,
};
use super::candidates::Choice;
use super::{candidates, claims, failover_store, stalled_failovers, stop_acks};
use crate::{InstanceCall, InstanceCommand, InstanceStatus, ReplicationRole};

/// How long after it was sent a claim may lead to a promotion call. A successor waits it out.
pub const CLAIM_VALID_US: u64 = 2_500_000;
/// Time after which a promotion call is given up.
const PROMOTE_TIMEOUT_US: u64 = 1_500_000;
/// Allowance for the clock rates of two hosts and for messages on their way.
const MARGIN_US: u64 = 200_000;
/// Interval of questions to candidates and of reminders to other proxies.
pub const POLL_US: u64 = 40_000;
/// Time after which an instance that does not lead yet is promoted again.
const SETTLE_US: u64 = 3_000_000;
/// Time after which a question to an instance is given up.
pub const STATUS_TIMEOUT_US: u64 = 300_000;
/// Time after which a store call is given up.
pub const STORE_TIMEOUT_US: u64 = 500_000;
/// Delay before a refused promotion call is repeated.
const REFUSED_US: u64 = 150_000;

pub fn run(tables: &mut Tables, now_us: u64) {
    let names: Vec<Bytes> = tables.sets.keys().cloned().collect();
    for name in names {
        succeed(tables, &name, now_us);
        failover_store::write_done(tables, &name, now_us);
        stalled_failovers::run(tables, &name, now_us);
        step(tables, &name, now_us);
    }
}

/// Claims again if the holder of a claim has not finished in its time, or no longer lives.
fn succeed(tables: &mut Tables, name: &Bytes, now_us: u64) {
    let Some(set) = tables.sets.get(name) else { return };
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
    let limit_us = CLAIM_VALID_US + PROMOTE_TIMEOUT_US + MARGIN_US;
    if is_restarted || age_us > limit_us {
        claims::consider(
            tables,
            name,
            FailoverKind::PrimaryLost,
            "the former claim was not finished",
            now_us,
        );
    }
}

fn step(tables: &mut Tables, name: &Bytes, now_us: u64) {
    let Some(failover) = tables.sets.get(name).and_then(|set| set.failover.as_ref()) else {
        return;
    };
    if now_us < failover.next_us {
        return;
    }
    match failover.stage.clone() {
        Stage::Claiming | Stage::Promoting { .. } => {}
        Stage::Verifying => failover_store::read_back(tables, name, now_us),
        Stage::Preparing => hold(tables, name, now_us),
        Stage::AwaitingPrimary { instance, since_us } => {
            settle(tables, name, &instance, since_us, now_us);
        }
    }
}

/// Changes a replacement together with its replica set.
pub fn with<T>(
    tables: &mut Tables,
    name: &Bytes,
    change: impl FnOnce(&mut ReplicaSetState, &mut Failover) -> T,
) -> Option<T> {
    let set = tables.sets.get_mut(name)?;
    let mut failover = set.failover.take()?;
    let result = change(set, &mut failover);
    set.failover = Some(failover);
    Some(result)
}

pub fn drop_claim(tables: &mut Tables, name: &Bytes, reason: &'static str) {
    let Some(set) = tables.sets.get_mut(name) else { return };
    if let Some(failover) = set.failover.take() {
        let fencing_token = failover.fencing_token;
        tables.changes.push(StateChange::ClaimDropped {
            replica_set: text(name),
            fencing_token,
            reason,
        });
    }
    set.claim_us = None;
    tables.is_changed = true;
}

/// Tells the other proxies of the record, except those that have stopped already.
pub fn broadcast(tables: &mut Tables, name: &Bytes, except: &[Bytes]) {
    let Some(record) = tables.sets.get(name).and_then(|set| set.record.as_ref()) else { return };
    let record = record.record.clone();
    for (member, row) in &tables.members {
        if !except.contains(member) {
            let message = PeerMessage::Record { replica_set: name.clone(), record: record.clone() };
            tables.actions.push(Action::Send { address: row.address, message });
        }
    }
}

/// A candidate or the promoted instance has reported its state.
pub fn status(tables: &mut Tables, call: &InstanceCall, status: InstanceStatus, now_us: u64) {
    let leads = with(tables, &call.replica_set, |_, failover| {
        failover.statuses.retain(|(id, _)| *id != call.instance);
        failover.statuses.push((call.instance.clone(), status));
        failover.next_us = now_us;
        let is_promoted = matches!(
            &failover.stage, Stage::AwaitingPrimary { instance, .. } if *instance == call.instance
        );
        is_promoted && status.role == ReplicationRole::Primary && status.term > failover.term
    });
    if leads == Some(true) {
        finish(tables, &call.replica_set, call.instance.clone(), status.term, now_us);
    }
}

/// Waits for the other proxies and the candidates, then promotes.
fn hold(tables: &mut Tables, name: &Bytes, now_us: u64) {
    let Some(failover) = with(tables, name, |_, failover| {
        failover.next_us = now_us + POLL_US;
        failover.clone()
    }) else {
        return;
    };
    if now_us > failover.claimed_us + CLAIM_VALID_US {
        drop_claim(tables, name, "the claim has become too old");
        return claims::claim(tables, name, failover.kind, "the claim expired", now_us);
    }
    if !stop_acks::have_all_stopped(tables, name, &failover, now_us) {
        if now_us >= failover.ask_us {
            broadcast(tables, name, &failover.stopped_proxies);
        }
        candidates::ask(tables, name, &failover, now_us);
        return;
    }
    match candidates::choose(tables, name, &failover, now_us) {
        Choice::Promote(instance, status) => promote(tables, name, instance, status, now_us),
        Choice::Wait => candidates::ask(tables, name, &failover, now_us),
        Choice::Keep(former) => finish(tables, name, former, failover.term, now_us),
    }
}

fn promote(
    tables: &mut Tables,
    name: &Bytes,
    instance: Bytes,
    status: InstanceStatus,
    now_us: u64,
) {
    let Some(fencing_token) = with(tables, name, |_, failover| {
        failover.stage = Stage::Promoting { instance: instance.clone() };
        failover.fencing_token
    }) else {
        return;
    };
    tables.changes.push(StateChange::Promoting {
        replica_set: text(name),
        instance: text(&instance),
        fencing_token,
        received: status.received.to_string(),
    });
    for member in tables.members.values() {
        let message = PeerMessage::Promoting {
            replica_set: name.clone(),
            fencing_token,
            instance: instance.clone(),
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

pub fn promotion_answered(
    tables: &mut Tables,
    name: &Bytes,
    fencing_token: u64,
    outcome: PromotionOutcome,
    now_us: u64,
) {
    tables.changes.push(StateChange::PromotionAnswer {
        replica_set: text(name),
        fencing_token,
        outcome: format!("{outcome:?}"),
    });
    with(tables, name, |_, failover| {
        let Stage::Promoting { instance } = &failover.stage else { return };
        if failover.fencing_token != fencing_token {
            return;
        }
        let instance = instance.clone();
        match outcome {
            PromotionOutcome::Accepted | PromotionOutcome::Unknown => {
                failover.stage = Stage::AwaitingPrimary { instance, since_us: now_us };
                failover.next_us = now_us;
            }
            PromotionOutcome::Refused => {
                // It does not run: another candidate is chosen.
                failover.statuses.retain(|(id, _)| *id != instance);
                failover.stage = Stage::Preparing;
                failover.next_us = now_us + REFUSED_US;
            }
            PromotionOutcome::Rejected => {
                failover.stage = Stage::Preparing;
                failover.next_us = now_us + REFUSED_US;
            }
        }
    });
}

/// Whether it is time for the next questions to instances.
pub fn may_ask(tables: &mut Tables, name: &Bytes, now_us: u64) -> bool {
    let may_ask = with(tables, name, |_, failover| {
        let may_ask = now_us >= failover.ask_us;
        if may_ask {
            failover.ask_us = now_us + POLL_US;
        }
        may_ask
    });
    may_ask == Some(true)
}

/// Asks the promoted instance until it leads.
fn settle(tables: &mut Tables, name: &Bytes, instance: &Bytes, since_us: u64, now_us: u64) {
    let Some(kind) = with(tables, name, |_, failover| {
        failover.next_us = now_us + POLL_US;
        failover.kind
    }) else {
        return;
    };
    if now_us > since_us + SETTLE_US {
        drop_claim(tables, name, "the promoted instance does not lead");
        return claims::claim(tables, name, kind, "the promotion had no effect", now_us);
    }
    if !may_ask(tables, name, now_us) {
        return;
    }
    tables.actions.push(Action::Call(InstanceCall {
        replica_set: name.clone(),
        instance: instance.clone(),
        command: InstanceCommand::Status,
        deadline_us: now_us + STATUS_TIMEOUT_US,
    }));
}

/// The promoted instance leads, or the former one goes on without a promotion call. Everybody may use
/// it at once: the record in the store is still this claim, and whoever claims next must wait until
/// nobody uses the primary. The store learns of it as soon as it takes the write.
fn finish(tables: &mut Tables, name: &Bytes, instance: Bytes, term: Term, now_us: u64) {
    let done = with(tables, name, |_, failover| {
        (failover.fencing_token, failover.revision, failover.former.clone())
    });
    let Some((fencing_token, revision, former)) = done else { return };
    if let Some(former) = former.filter(|former| *former != instance) {
        step_down(tables, name, former, term, now_us);
    }
    let record = PromotionRecord {
        fencing_token,
        holder: tables.config.name.clone(),
        holder_incarnation: tables.config.incarnation,
        state: PromotionState::Done { instance, term },
    };
    failover_store::conclude(tables, name, record, revision, "own promotion", now_us);
}

/// The old primary may not know yet that it has been replaced.
fn step_down(tables: &mut Tables, name: &Bytes, former: Bytes, term: Term, now_us: u64) {
    tables.actions.push(Action::Call(InstanceCall {
        replica_set: name.clone(),
        instance: former,
        command: InstanceCommand::StepDown(term),
        deadline_us: now_us + STATUS_TIMEOUT_US,
    }));
}
