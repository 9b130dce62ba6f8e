//! Ends calls to the key-value service and hands the answers to the loop that made them.

use crate::StoreCallKey;
use crate::control::tables::Tables;
use crate::control::{StoreOperation, StoreResponse};

pub(crate) fn run(tables: &mut Tables) {
    for (call, answer) in core::mem::take(&mut tables.inputs.store_answers) {
        finish(tables, call, answer);
    }
    for call in tables.deadlines.store_call.take_due(tables.now_us) {
        finish(tables, call, StoreResponse::Failed);
    }
}

fn finish(tables: &mut Tables, call: StoreCallKey, answer: StoreResponse) {
    // An answer that comes after its call was given up finds no call and is dropped.
    let Some(operation) = tables.store_calls.remove(call) else { return };
    tables.deadlines.store_call.cancel(call);
    let failed = answer == StoreResponse::Failed;
    if failed {
        tables.counters.store_failures += 1;
    }
    tables.set_store_available(!failed);
    match operation {
        StoreOperation::GetConfiguration | StoreOperation::WatchConfiguration { .. } => {
            tables.inputs.configuration_answers.push(answer);
        }
        operation => tables.inputs.record_answers.push((operation, answer)),
    }
}
