//! Completes calls to the key-value service and routes the responses to the systems that consume
//! them.

use crate::StoreCallKey;
use crate::control::tables::Tables;
use crate::control::{StoreOperation, StoreResponse};

pub(crate) fn run(tables: &mut Tables) {
    for (call, response) in core::mem::take(&mut tables.inputs.store_responses) {
        finish(tables, call, response);
    }
    for call in tables.timers.store_call.take_expired(tables.now_us) {
        finish(tables, call, StoreResponse::Failed);
    }
}

fn finish(tables: &mut Tables, call: StoreCallKey, response: StoreResponse) {
    // A response that arrives after its call has timed out finds no entry and is dropped.
    let Some(operation) = tables.store_calls.remove(call) else { return };
    tables.timers.store_call.cancel(call);
    let failed = response == StoreResponse::Failed;
    if failed {
        tables.counters.store_failures += 1;
    }
    tables.set_store_available(!failed);
    match operation {
        StoreOperation::GetConfiguration | StoreOperation::WatchConfiguration { .. } => {
            tables.inputs.configuration_responses.push(response);
        }
        operation => tables.inputs.record_responses.push((operation, response)),
    }
}
