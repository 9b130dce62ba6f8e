//! Carries the replacement of a primary out.

use bytes::Bytes;
use flamingorock_core::{Position, Term};

use super::super::replica_set_state::ReplicaSetState;
use super::super::tables::{Tables, text};
use super::super::takeover::{Stage, Takeover};
use super::super::{
    Action, Change, Condition, PeerMessage, PromotionOutcome, PromotionRecord, PromotionState,
    Silence, StoreAnswer, StoreCall, StoreContent, StoreItem, StoreOutcome,
};
use super::{claims, permits, records};
use crate::{GroupCall, GroupCommand, InstanceStatus, ReplicationRole};

/// How long after it was sent a claim may lead to a promotion call. A successor waits it out.
const CLAIM_VALID_US: u64 = 2_500_000;
/// Time after which a promotion call is given up.
const PROMOTE_TIMEOUT_US: u64 = 1_500_000;
/// Allowance for the clock rates of two hosts and for messages on their way.
const MARGIN_US: u64 = 200_000;
/// Time for the candidates to report before one that has reported is taken.
const REPORTS_US: u64 = 350_000;
/// Time for a replica to receive what a working primary has committed.
const CATCH_UP_US: u64 = 1_500_000;
/// Interval of questions to candidates and of reminders to other proxies.
const POLL_US: u64 = 40_000;
/// Time after which an instance that does not lead yet is promoted again.
const SETTLE_US: u64 = 3_000_000;
/// Time after which a question to an instance is given up.
const STATUS_TIMEOUT_US: u64 = 300_000;
/// Time after which a store call is given up.
const STORE_TIMEOUT_US: u64 = 500_000;
/// Delay before a refused promotion call is repeated.
const REFUSED_US: u64 = 150_000;

pub fn run(tables: &mut Tables, now_us: u64) {
    let names: Vec<Bytes> = tables.sets.keys().cloned().collect();
    for name in names {
        succeed(tables, &name, now_us);
        step(tables, &name, now_us);
    }
}

/// Claims again if the holder of a claim has not finished in its time, or no longer lives.
fn succeed(tables: &mut Tables, name: &Bytes, now_us: u64) {
    let Some(set) = tables.sets.get(name) else { return };
    if set.takeover.is_some() || tables.stopping.is_some() {
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
        claims::consider(tables, name, false, "the former claim was not finished", now_us);
    }
}

fn step(tables: &mut Tables, name: &Bytes, now_us: u64) {
    let Some(takeover) = tables.sets.get(name).and_then(|set| set.takeover.as_ref()) else {
        return;
    };
    if now_us < takeover.next_us {
        return;
    }
    match takeover.stage.clone() {
        Stage::Claiming | Stage::Promoting { .. } => {}
        Stage::Verifying => read_back(tables, name, now_us),
        Stage::Holding => hold(tables, name, now_us),
        Stage::Settling { instance, since_us } => {
            settle(tables, name, &instance, since_us, now_us);
        }
        Stage::Recording { instance, term } => write_done(tables, name, instance, term, now_us),
    }
}

fn with<T>(
    tables: &mut Tables,
    name: &Bytes,
    change: impl FnOnce(&mut ReplicaSetState, &mut Takeover) -> T,
) -> Option<T> {
    let set = tables.sets.get_mut(name)?;
    let mut takeover = set.takeover.take()?;
    let result = change(set, &mut takeover);
    set.takeover = Some(takeover);
    Some(result)
}

fn drop_claim(tables: &mut Tables, name: &Bytes, reason: &'static str) {
    let Some(set) = tables.sets.get_mut(name) else { return };
    if let Some(takeover) = set.takeover.take() {
        let fence = takeover.fence;
        tables.changes.push(Change::ClaimDropped { replica_set: text(name), fence, reason });
    }
    set.claim_us = None;
    tables.is_changed = true;
}

fn read_back(tables: &mut Tables, name: &Bytes, now_us: u64) {
    let is_new = with(tables, name, |_, takeover| {
        takeover.next_us = now_us + POLL_US;
        !core::mem::replace(&mut takeover.is_writing, true)
    });
    if is_new == Some(true) {
        let call = StoreCall::ReadPromotion { replica_set: name.clone() };
        tables.call_store(call, now_us + STORE_TIMEOUT_US);
    }
}

/// Answers of the store to the calls of a replacement.
pub fn store_answered(tables: &mut Tables, answer: StoreAnswer, now_us: u64) {
    let (name, written) = match answer.call {
        StoreCall::ReadPromotion { replica_set } => (replica_set, None),
        StoreCall::WritePromotion { replica_set, record, .. } => (replica_set, Some(record)),
        _ => return,
    };
    with(tables, &name, |_, takeover| takeover.is_writing = false);
    match answer.outcome {
        StoreOutcome::Written { revision } => {
            if let Some(record) = written {
                accept(tables, &name, record, revision, now_us);
            }
        }
        StoreOutcome::Conflict { item } | StoreOutcome::Item(item) => {
            found(tables, &name, item, now_us);
        }
        _ => unanswered(tables, &name, now_us),
    }
}

/// A record of this proxy is in the store.
fn accept(tables: &mut Tables, name: &Bytes, record: PromotionRecord, revision: u64, now_us: u64) {
    let is_current = with(tables, name, |_, takeover| {
        let is_current = takeover.fence == record.fence;
        if is_current && record.is_claimed() {
            takeover.revision = revision;
            if matches!(takeover.stage, Stage::Claiming | Stage::Verifying) {
                takeover.stage = Stage::Holding;
                takeover.next_us = now_us;
            }
        }
        is_current
    });
    records::apply(tables, name, record, revision, "own promotion", now_us);
    if is_current == Some(true) {
        broadcast(tables, name, &[]);
    }
}

/// The store holds another record than expected, or the one that was asked for.
fn found(tables: &mut Tables, name: &Bytes, item: Option<StoreItem>, now_us: u64) {
    let Some(StoreItem { content: StoreContent::Promotion(record), revision, .. }) = item else {
        return drop_claim(tables, name, "the store has no record");
    };
    let own = record.holder == tables.config.name
        && record.holder_incarnation == tables.config.incarnation
        && tables
            .sets
            .get(name)
            .and_then(|set| set.takeover.as_ref())
            .is_some_and(|takeover| takeover.fence == record.fence);
    if own {
        return accept(tables, name, record, revision, now_us);
    }
    drop_claim(tables, name, "another record is in the store");
    records::apply(tables, name, record, revision, "the store", now_us);
    records::answer_claim(tables, name, now_us);
}

/// The store has not answered: what was written is read back, until the claim is too old.
fn unanswered(tables: &mut Tables, name: &Bytes, now_us: u64) {
    let is_old = with(tables, name, |_, takeover| {
        takeover.next_us = now_us + POLL_US;
        match takeover.stage {
            Stage::Claiming | Stage::Verifying => {
                takeover.stage = Stage::Verifying;
                now_us > takeover.claimed_us + CLAIM_VALID_US
            }
            _ => false,
        }
    });
    if is_old == Some(true) {
        drop_claim(tables, name, "the store does not answer");
    }
}

/// Tells the other proxies of the record, except those that have stopped already.
fn broadcast(tables: &mut Tables, name: &Bytes, except: &[Bytes]) {
    let Some(record) = tables.sets.get(name).and_then(|set| set.record.as_ref()) else { return };
    let record = record.record.clone();
    for (member, row) in &tables.members {
        if !except.contains(member) {
            let message = PeerMessage::Record { replica_set: name.clone(), record: record.clone() };
            tables.actions.push(Action::Send { address: row.address, message });
        }
    }
}

/// Another proxy's word that it has stopped using the old primary.
pub struct Stop {
    pub from: Bytes,
    pub position: Option<Position>,
    pub silences: Vec<Silence>,
}

/// Another proxy has stopped using the old primary.
pub fn stopped(tables: &mut Tables, stop: Stop, name: &Bytes, fence: u64, now_us: u64) {
    let others: Vec<Bytes> = tables.members.keys().cloned().collect();
    let is_news = with(tables, name, |_, takeover| {
        let is_news = takeover.fence == fence && !takeover.stopped.contains(&stop.from);
        if is_news {
            takeover.stopped.push(stop.from.clone());
            takeover.last_position = takeover.last_position.max(stop.position);
            takeover.next_us = 0;
            note_heard(takeover, others, &stop, now_us);
        }
        is_news
    });
    if is_news == Some(true) {
        tables.changes.push(Change::Stopped {
            replica_set: text(name),
            proxy: text(&stop.from),
            position: format!("{:?}", stop.position),
        });
    }
}

/// Notes when the sender last heard each proxy. One that it does not name is in contact with it.
fn note_heard(takeover: &mut Takeover, others: Vec<Bytes>, stop: &Stop, now_us: u64) {
    for proxy in others {
        let silence = stop.silences.iter().find(|silence| silence.proxy == proxy);
        let silent_us = silence.map_or(0, |silence| u64::from(silence.silent_ms) * 1000);
        let heard_us = takeover.heard_us.entry(proxy).or_default();
        *heard_us = (*heard_us).max(now_us.saturating_sub(silent_us));
    }
}

/// A candidate or the promoted instance has reported its state.
pub fn status(tables: &mut Tables, call: &GroupCall, status: InstanceStatus, now_us: u64) {
    with(tables, &call.replica_set, |_, takeover| {
        takeover.statuses.retain(|(id, _)| *id != call.instance);
        takeover.statuses.push((call.instance.clone(), status));
        if let Stage::Settling { instance, .. } = &takeover.stage {
            let leads = status.role == ReplicationRole::Primary && status.term > takeover.term;
            if *instance == call.instance && leads {
                takeover.stage = Stage::Recording { instance: instance.clone(), term: status.term };
            }
        }
        takeover.next_us = now_us;
    });
}

/// Waits for the other proxies and the candidates, then promotes.
fn hold(tables: &mut Tables, name: &Bytes, now_us: u64) {
    let Some(takeover) = with(tables, name, |_, takeover| {
        takeover.next_us = now_us + POLL_US;
        takeover.clone()
    }) else {
        return;
    };
    if now_us > takeover.claimed_us + CLAIM_VALID_US {
        drop_claim(tables, name, "the claim has become too old");
        return claims::claim(tables, name, takeover.is_planned, "the claim expired", now_us);
    }
    if !have_all_stopped(tables, name, &takeover, now_us) {
        if now_us >= takeover.ask_us {
            broadcast(tables, name, &takeover.stopped);
        }
        ask_candidates(tables, name, &takeover, now_us);
        return;
    }
    match choose(tables, name, &takeover, now_us) {
        Some((instance, status)) => promote(tables, name, instance, status, now_us),
        None => ask_candidates(tables, name, &takeover, now_us),
    }
}

/// Whether no proxy can use the old primary any more.
fn have_all_stopped(tables: &Tables, name: &Bytes, takeover: &Takeover, now_us: u64) -> bool {
    let Some(set) = tables.sets.get(name) else { return false };
    let own = set.quiet_term == Some(set.term()) || takeover.former.is_none();
    let fleet = tables.members.len() + 1;
    let has_majority = takeover.stopped.len() + 1 > fleet / 2;
    own && tables.members.iter().all(|(proxy, member)| {
        takeover.stopped.contains(proxy)
            || (has_majority && has_no_permit(takeover, proxy, member.heard_us, now_us))
    })
}

/// Whether a silent proxy's permit has expired. It needs a majority that hears it, and so at least
/// one of the proxies that have stopped; none of them has heard it for as long as a permit holds.
fn has_no_permit(takeover: &Takeover, proxy: &Bytes, heard_us: u64, now_us: u64) -> bool {
    let heard_us = takeover.heard_us.get(proxy).copied().unwrap_or_default().max(heard_us);
    now_us > heard_us + permits::PERMIT_US + MARGIN_US
}

fn ask_candidates(tables: &mut Tables, name: &Bytes, takeover: &Takeover, now_us: u64) {
    if !may_ask(tables, name, now_us) {
        return;
    }
    for instance in candidates(tables, name, takeover) {
        tables.actions.push(Action::Call(GroupCall {
            replica_set: name.clone(),
            instance,
            command: GroupCommand::Status,
            deadline_us: now_us + STATUS_TIMEOUT_US,
        }));
    }
}

fn candidates(tables: &Tables, name: &Bytes, takeover: &Takeover) -> Vec<Bytes> {
    let Some(set) = tables.sets.get(name) else { return Vec::new() };
    let others = set.instances.keys().filter(|id| Some(*id) != takeover.former.as_ref());
    others.cloned().collect()
}

/// The candidate that has received most, once enough is known.
fn choose(
    tables: &Tables,
    name: &Bytes,
    takeover: &Takeover,
    now_us: u64,
) -> Option<(Bytes, InstanceStatus)> {
    let candidates = candidates(tables, name, takeover);
    let reported: Vec<&(Bytes, InstanceStatus)> =
        takeover.statuses.iter().filter(|(id, _)| candidates.contains(id)).collect();
    let set = tables.sets.get(name)?;
    let leaves = |id: &Bytes| set.instances.get(id).is_none_or(|row| row.entry.is_leaving);
    let best =
        reported.iter().max_by_key(|(id, status)| (status.received, !leaves(id), id.clone()))?;
    let is_complete = reported.len() == candidates.len();
    let waited_us = now_us.saturating_sub(takeover.claimed_us);
    let needs = needed_reports(tables, name, candidates.len());
    if reported.len() < needs || !(is_complete || waited_us >= REPORTS_US) {
        return None;
    }
    let has_everything = takeover.last_position.is_none_or(|position| best.1.received >= position);
    if takeover.is_planned && !has_everything && waited_us < CATCH_UP_US {
        return None;
    }
    Some((best.0.clone(), best.1))
}

/// Candidates that must report so that every acknowledged commit is at one of them at least.
fn needed_reports(tables: &Tables, name: &Bytes, candidates: usize) -> usize {
    let rules = &tables.configuration.replica_sets;
    let sync = rules.iter().find(|rule| rule.name == *name).map_or(0, |rule| rule.sync_replicas);
    match sync as usize {
        0 => 1,
        sync => (candidates + 1).saturating_sub(sync).max(1),
    }
}

fn promote(
    tables: &mut Tables,
    name: &Bytes,
    instance: Bytes,
    status: InstanceStatus,
    now_us: u64,
) {
    let Some(fence) = with(tables, name, |_, takeover| {
        takeover.stage = Stage::Promoting { instance: instance.clone() };
        takeover.fence
    }) else {
        return;
    };
    tables.changes.push(Change::Promoting {
        replica_set: text(name),
        instance: text(&instance),
        fence,
        received: status.received.to_string(),
    });
    tables.actions.push(Action::Promote {
        replica_set: name.clone(),
        instance,
        fence,
        deadline_us: now_us + PROMOTE_TIMEOUT_US,
    });
}

pub fn promotion_answered(
    tables: &mut Tables,
    name: &Bytes,
    fence: u64,
    outcome: PromotionOutcome,
    now_us: u64,
) {
    tables.changes.push(Change::PromotionAnswer {
        replica_set: text(name),
        fence,
        outcome: format!("{outcome:?}"),
    });
    with(tables, name, |_, takeover| {
        let Stage::Promoting { instance } = &takeover.stage else { return };
        if takeover.fence != fence {
            return;
        }
        let instance = instance.clone();
        match outcome {
            PromotionOutcome::Accepted | PromotionOutcome::Unknown => {
                takeover.stage = Stage::Settling { instance, since_us: now_us };
                takeover.next_us = now_us;
            }
            PromotionOutcome::Refused => {
                // It does not run: another candidate is chosen.
                takeover.statuses.retain(|(id, _)| *id != instance);
                takeover.stage = Stage::Holding;
                takeover.next_us = now_us + REFUSED_US;
            }
            PromotionOutcome::Rejected => {
                takeover.stage = Stage::Holding;
                takeover.next_us = now_us + REFUSED_US;
            }
        }
    });
}

/// Whether it is time for the next questions to instances.
fn may_ask(tables: &mut Tables, name: &Bytes, now_us: u64) -> bool {
    let may_ask = with(tables, name, |_, takeover| {
        let may_ask = now_us >= takeover.ask_us;
        if may_ask {
            takeover.ask_us = now_us + POLL_US;
        }
        may_ask
    });
    may_ask == Some(true)
}

/// Asks the promoted instance until it leads.
fn settle(tables: &mut Tables, name: &Bytes, instance: &Bytes, since_us: u64, now_us: u64) {
    let Some(is_planned) = with(tables, name, |_, takeover| {
        takeover.next_us = now_us + POLL_US;
        takeover.is_planned
    }) else {
        return;
    };
    if now_us > since_us + SETTLE_US {
        drop_claim(tables, name, "the promoted instance does not lead");
        return claims::claim(tables, name, is_planned, "the promotion had no effect", now_us);
    }
    if !may_ask(tables, name, now_us) {
        return;
    }
    tables.actions.push(Action::Call(GroupCall {
        replica_set: name.clone(),
        instance: instance.clone(),
        command: GroupCommand::Status,
        deadline_us: now_us + STATUS_TIMEOUT_US,
    }));
}

/// Writes that the replacement is done. The belief changes at once: the instance itself says that it
/// leads, and nobody else may promote before the claim is superseded in the store.
fn write_done(tables: &mut Tables, name: &Bytes, instance: Bytes, term: Term, now_us: u64) {
    let Some((fence, revision, former, is_new)) = with(tables, name, |_, takeover| {
        takeover.next_us = now_us + POLL_US;
        let is_new = !core::mem::replace(&mut takeover.is_writing, true);
        (takeover.fence, takeover.revision, takeover.former.clone(), is_new)
    }) else {
        return;
    };
    if !is_new {
        return;
    }
    let record = PromotionRecord {
        fence,
        holder: tables.config.name.clone(),
        holder_incarnation: tables.config.incarnation,
        state: PromotionState::Done { instance, term },
    };
    if let Some(former) = former {
        step_down(tables, name, former, term, now_us);
    }
    let call = StoreCall::WritePromotion {
        replica_set: name.clone(),
        record,
        condition: Condition { revision },
    };
    tables.call_store(call, now_us + STORE_TIMEOUT_US);
}

/// The old primary may not know yet that it has been replaced.
fn step_down(tables: &mut Tables, name: &Bytes, former: Bytes, term: Term, now_us: u64) {
    tables.actions.push(Action::Call(GroupCall {
        replica_set: name.clone(),
        instance: former,
        command: GroupCommand::StepDown(term),
        deadline_us: now_us + STATUS_TIMEOUT_US,
    }));
}
