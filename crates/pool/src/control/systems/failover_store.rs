//! Reads and writes promotion records during a failover.

use bytes::Bytes;

use super::super::failover::Stage;
use super::super::replica_set_state::UnwrittenRecord;
use super::super::tables::Tables;
use super::super::{
    Condition, PromotionRecord, StoreCall, StoreContent, StoreItem, StoreOutcome, StoreResponse,
};
use super::failovers::{CLAIM_VALID_US, POLL_US, STORE_TIMEOUT_US, broadcast, with_failover};
use super::{claims, records};

/// Delay before the write of a completion is retried.
const RETRY_US: u64 = 200_000;

/// Reads the record back after the response to a claim was lost.
pub fn read_back(tables: &mut Tables, name: &Bytes, now_us: u64) {
    let is_new = with_failover(tables, name, |_, failover| {
        failover.next_step_us = now_us + POLL_US;
        !core::mem::replace(&mut failover.is_calling_store, true)
    });
    if is_new == Some(true) {
        let call = StoreCall::ReadPromotion { replica_set: name.clone() };
        tables.call_store(call, now_us + STORE_TIMEOUT_US);
    }
}

/// Completes a failover: informs all proxies at once, and writes the completion to the store as
/// soon as the store accepts it.
pub fn complete(
    tables: &mut Tables,
    name: &Bytes,
    record: PromotionRecord,
    revision: u64,
    source: &'static str,
    now_us: u64,
) {
    records::apply(tables, name, record.clone(), revision, source, now_us);
    broadcast(tables, name, &[]);
    if let Some(set) = tables.replica_sets.get_mut(name) {
        let is_writing = false;
        set.unwritten_record =
            Some(UnwrittenRecord { record, revision, next_us: now_us, is_writing });
    }
    write_completion(tables, name, now_us);
}

/// Writes the completion until the store has it or a newer record.
pub fn write_completion(tables: &mut Tables, name: &Bytes, now_us: u64) {
    let Some(unwritten) =
        tables.replica_sets.get_mut(name).and_then(|set| set.unwritten_record.as_mut())
    else {
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

/// Handles the store's response to the write of a completion.
fn completion_response_received(
    tables: &mut Tables,
    name: &Bytes,
    outcome: StoreOutcome,
    now_us: u64,
) {
    let Some(set) = tables.replica_sets.get_mut(name) else { return };
    let Some(mut unwritten) = set.unwritten_record.take() else { return };
    match outcome {
        StoreOutcome::Written { revision } => {
            records::apply(
                tables,
                name,
                unwritten.record,
                revision,
                "this proxy's failover",
                now_us,
            );
        }
        StoreOutcome::Conflict { item } => {
            // Either an earlier attempt was performed, or a newer claim has superseded this one.
            if let Some(StoreItem { content: StoreContent::Promotion(record), revision, .. }) = item
            {
                records::apply(tables, name, record, revision, "the store", now_us);
                records::acknowledge_claim(tables, name, now_us);
            }
        }
        _ => {
            unwritten.is_writing = false;
            unwritten.next_us = now_us + RETRY_US;
            set.unwritten_record = Some(unwritten);
        }
    }
}

/// Handles the store's response to the calls of a failover.
pub fn response_received(tables: &mut Tables, response: StoreResponse, now_us: u64) {
    let (name, written) = match response.call {
        StoreCall::ReadPromotion { replica_set } => (replica_set, None),
        StoreCall::WritePromotion { replica_set, record, .. } if !record.is_claimed() => {
            return completion_response_received(tables, &replica_set, response.outcome, now_us);
        }
        StoreCall::WritePromotion { replica_set, record, .. } => (replica_set, Some(record)),
        _ => return,
    };
    with_failover(tables, &name, |_, failover| failover.is_calling_store = false);
    match response.outcome {
        StoreOutcome::Written { revision } => {
            if let Some(record) = written {
                accept_record(tables, &name, record, revision, now_us);
            }
        }
        StoreOutcome::Conflict { item } | StoreOutcome::Item(item) => {
            stored_record_received(tables, &name, item, now_us);
        }
        _ => store_silent(tables, &name, now_us),
    }
}

/// Handles the confirmation that the store has this proxy's record.
fn accept_record(
    tables: &mut Tables,
    name: &Bytes,
    record: PromotionRecord,
    revision: u64,
    now_us: u64,
) {
    let is_current = with_failover(tables, name, |_, failover| {
        let is_current = failover.fencing_token == record.fencing_token;
        if is_current && record.is_claimed() {
            failover.revision = revision;
            if matches!(failover.stage, Stage::Claiming | Stage::Verifying) {
                failover.stage = Stage::Preparing;
                failover.next_step_us = now_us;
            }
        }
        is_current
    });
    records::apply(tables, name, record, revision, "this proxy's failover", now_us);
    if is_current == Some(true) {
        broadcast(tables, name, &[]);
    }
}

/// Handles the record that the store returned, after a conflict or a read.
fn stored_record_received(tables: &mut Tables, name: &Bytes, item: Option<StoreItem>, now_us: u64) {
    let Some(StoreItem { content: StoreContent::Promotion(record), revision, .. }) = item else {
        return claims::drop_claim(tables, name, "the store has no record");
    };
    let is_own = record.holder == tables.config.name
        && record.holder_incarnation == tables.config.incarnation
        && tables
            .replica_sets
            .get(name)
            .and_then(|set| set.failover.as_ref())
            .is_some_and(|failover| failover.fencing_token == record.fencing_token);
    if is_own {
        return accept_record(tables, name, record, revision, now_us);
    }
    claims::drop_claim(tables, name, "another record is in the store");
    records::apply(tables, name, record, revision, "the store", now_us);
    records::acknowledge_claim(tables, name, now_us);
}

/// Handles a call without a response: the record is read back until the claim expires.
fn store_silent(tables: &mut Tables, name: &Bytes, now_us: u64) {
    let is_expired = with_failover(tables, name, |_, failover| {
        failover.next_step_us = now_us + POLL_US;
        match failover.stage {
            Stage::Claiming | Stage::Verifying => {
                failover.stage = Stage::Verifying;
                now_us > failover.claimed_us + CLAIM_VALID_US
            }
            _ => false,
        }
    });
    if is_expired == Some(true) {
        claims::drop_claim(tables, name, "the store is unreachable");
    }
}
