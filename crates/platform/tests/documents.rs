//! Tests of the typed reads and writes and of store operations, against an in-memory store.

#[expect(dead_code, reason = "the command line's tests use the other faults")]
mod support;

use std::time::Instant;

use flamingorock_core::control::{OwnerRecord, StoreOperation};
use flamingorock_core::{DatabaseId, HostId};
use flamingorock_platform::{
    HistoryRecord, KeyValueStore, Keys, StoredConfiguration, documents, execute_operation,
};
use support::{Fault, MemoryStore};

const DATABASE: &str = "ledger-1";

fn document(version: u64) -> StoredConfiguration {
    StoredConfiguration {
        version,
        apply_id: format!("id-{version}"),
        applied_by: "operator@entry-1".to_owned(),
        applied_at_unix_s: 1_800_000_000,
        text: "[service s]\n".to_owned(),
    }
}

fn swap_owner(index: u64) -> StoreOperation {
    let record = OwnerRecord {
        owner: HostId(1),
        owner_epoch: 5,
        standby: Some(HostId(2)),
        standby_epoch: 6,
    };
    StoreOperation::CompareAndSwapOwner { database: DatabaseId::from_name(DATABASE), index, record }
}

fn execute(store: &MemoryStore, operation: &StoreOperation) -> String {
    let name_of = |id| (id == DatabaseId::from_name(DATABASE)).then(|| DATABASE.to_owned());
    let response =
        execute_operation(store, &Keys::new("fleet"), operation, name_of, Instant::now());
    format!("{response:?}")
}

/// Guards against keys and JSON that differ from section 10 of the design page.
#[test]
fn stored_format_matches_the_design_page() {
    let (store, keys, now) = (MemoryStore::default(), Keys::new("fleet"), Instant::now());
    let record = HistoryRecord { previous_apply_id: None, document: document(7) };
    documents::write_history_record(&store, &keys, &record, now).expect("the store works");
    documents::swap_configuration(&store, &keys, 0, &document(7), now).expect("the store works");
    execute(&store, &swap_owner(0));
    let stored: Vec<String> = store
        .keys()
        .iter()
        .map(|key| {
            let entry = store.get(key, now).expect("the store works");
            format!("{key} = {}", String::from_utf8_lossy(&entry.value.unwrap_or_default()))
        })
        .collect();
    insta::assert_snapshot!(stored.join("\n"));
}

/// Guards against a response that reports a write that the store did not confirm, or a conflict for
/// a write that may have taken effect.
#[test]
fn store_operations_are_executed() {
    let store = MemoryStore::default();
    let get_owner = StoreOperation::GetOwner { database: DatabaseId::from_name(DATABASE) };
    let unknown_database = StoreOperation::GetOwner { database: DatabaseId::from_name("other") };
    let mut log = Vec::new();
    let mut step = |label: &str, operation: &StoreOperation| {
        log.push(format!("{label}: {}", execute(&store, operation)));
    };
    step("no document", &StoreOperation::GetConfiguration);
    step("no record", &get_owner);
    step("first claim", &swap_owner(0));
    step("same claim again", &swap_owner(0));
    step("record", &get_owner);
    store.fail_writes([Fault::LoseResponse, Fault::Unreachable]);
    step("response lost", &swap_owner(1));
    step("unreachable", &swap_owner(2));
    step("after the lost response", &get_owner);
    step("database without a name", &unknown_database);
    store.put("fleet/config", &serde_json::to_vec(&document(3)).expect("JSON"));
    step("document", &StoreOperation::WatchConfiguration { index: 0 });
    store.put("fleet/config", b"not JSON");
    step("document that cannot be decoded", &StoreOperation::GetConfiguration);
    insta::assert_snapshot!(log.join("\n"));
}

/// Guards against a history that grows without bound, and against the removal of recent records.
/// The versions have different numbers of digits: comparing keys as text would order them wrongly.
#[test]
fn old_history_records_are_removed() {
    let (store, keys, now) = (MemoryStore::default(), Keys::new("fleet"), Instant::now());
    for version in [8, 9, 10, 11, 100] {
        let record = HistoryRecord { previous_apply_id: None, document: document(version) };
        documents::write_history_record(&store, &keys, &record, now).expect("the store works");
    }
    store.put("fleet/history/unknown", b"kept");
    documents::remove_history_below(&store, &keys, 10, now).expect("the store works");
    insta::assert_snapshot!(store.keys().join("\n"));
}
