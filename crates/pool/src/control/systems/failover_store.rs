//! Calls of a replacement to the store.

use bytes::Bytes;

use super::super::failover::Stage;
use super::super::replica_set_state::UnwrittenRecord;
use super::super::tables::Tables;
use super::super::{
    Condition, PromotionRecord, StoreAnswer, StoreCall, StoreContent, StoreItem, StoreOutcome,
};
use super::failovers::{CLAIM_VALID_US, POLL_US, STORE_TIMEOUT_US, broadcast, drop_claim, with};
use super::records;

/// Delay before the write of a replacement's end is repeated.
const RETRY_US: u64 = 200_000;

/// Reads the record back after the answer to a claim was lost.
pub fn read_back(tables: &mut Tables, name: &Bytes, now_us: u64) {
    let is_new = with(tables, name, |_, failover| {
        failover.next_us = now_us + POLL_US;
        !core::mem::replace(&mut failover.is_writing, true)
    });
    if is_new == Some(true) {
        let call = StoreCall::ReadPromotion { replica_set: name.clone() };
        tables.call_store(call, now_us + STORE_TIMEOUT_US);
    }
}

/// Ends a replacement for everybody, and in the store as soon as that takes the write.
pub fn conclude(
    tables: &mut Tables,
    name: &Bytes,
    record: PromotionRecord,
    revision: u64,
    source: &'static str,
    now_us: u64,
) {
    records::apply(tables, name, record.clone(), revision, source, now_us);
    broadcast(tables, name, &[]);
    if let Some(set) = tables.sets.get_mut(name) {
        let is_writing = false;
        set.unwritten = Some(UnwrittenRecord { record, revision, next_us: now_us, is_writing });
    }
    write_done(tables, name, now_us);
}

/// Writes that a replacement is done, until the store has that or something newer.
pub fn write_done(tables: &mut Tables, name: &Bytes, now_us: u64) {
    let Some(unwritten) = tables.sets.get_mut(name).and_then(|set| set.unwritten.as_mut()) else {
        return;
    };
    if unwritten.is_writing || now_us < unwritten.next_us {
        return;
    }
    unwritten.is_writing = true;
    let call = StoreCall::WritePromotion {
        replica_set: name.clone(),
        record: unwritten.record.clone(),
        condition: Condition { revision: unwritten.revision },
    };
    tables.call_store(call, now_us + STORE_TIMEOUT_US);
}

/// The store has answered the write of a replacement's end.
fn done_answered(tables: &mut Tables, name: &Bytes, outcome: StoreOutcome, now_us: u64) {
    let Some(set) = tables.sets.get_mut(name) else { return };
    let Some(mut unwritten) = set.unwritten.take() else { return };
    match outcome {
        StoreOutcome::Written { revision } => {
            records::apply(tables, name, unwritten.record, revision, "own promotion", now_us);
        }
        StoreOutcome::Conflict { item } => {
            // Either an earlier try was done, or another claim has superseded it.
            if let Some(StoreItem { content: StoreContent::Promotion(record), revision, .. }) = item
            {
                records::apply(tables, name, record, revision, "the store", now_us);
                records::answer_claim(tables, name, now_us);
            }
        }
        _ => {
            unwritten.is_writing = false;
            unwritten.next_us = now_us + RETRY_US;
            set.unwritten = Some(unwritten);
        }
    }
}

/// Answers of the store to the calls of a replacement.
pub fn answered(tables: &mut Tables, answer: StoreAnswer, now_us: u64) {
    let (name, written) = match answer.call {
        StoreCall::ReadPromotion { replica_set } => (replica_set, None),
        StoreCall::WritePromotion { replica_set, record, .. } if !record.is_claimed() => {
            return done_answered(tables, &replica_set, answer.outcome, now_us);
        }
        StoreCall::WritePromotion { replica_set, record, .. } => (replica_set, Some(record)),
        _ => return,
    };
    with(tables, &name, |_, failover| failover.is_writing = false);
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
    let is_current = with(tables, name, |_, failover| {
        let is_current = failover.fencing_token == record.fencing_token;
        if is_current && record.is_claimed() {
            failover.revision = revision;
            if matches!(failover.stage, Stage::Claiming | Stage::Verifying) {
                failover.stage = Stage::Preparing;
                failover.next_us = now_us;
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
            .and_then(|set| set.failover.as_ref())
            .is_some_and(|failover| failover.fencing_token == record.fencing_token);
    if own {
        return accept(tables, name, record, revision, now_us);
    }
    drop_claim(tables, name, "another record is in the store");
    records::apply(tables, name, record, revision, "the store", now_us);
    records::answer_claim(tables, name, now_us);
}

/// The store has not answered: what was written is read back, until the claim is too old.
fn unanswered(tables: &mut Tables, name: &Bytes, now_us: u64) {
    let is_old = with(tables, name, |_, failover| {
        failover.next_us = now_us + POLL_US;
        match failover.stage {
            Stage::Claiming | Stage::Verifying => {
                failover.stage = Stage::Verifying;
                now_us > failover.claimed_us + CLAIM_VALID_US
            }
            _ => false,
        }
    });
    if is_old == Some(true) {
        drop_claim(tables, name, "the store does not answer");
    }
}
