//! In-memory store with fault injection, for the tests of this crate and of the command line.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Mutex;
use std::time::Instant;

use flamingorock_platform::{Entry, KeyValueStore, StoreError, SwapOutcome};

/// A fault to inject into one write.
#[derive(Clone, Debug)]
pub(crate) enum Fault {
    /// No fault.
    None,
    /// The write is not executed, and its error says so.
    Unreachable,
    /// The write is executed, but its response is lost.
    LoseResponse,
    /// The request is lost: the write is not executed, but the error is that of a lost response.
    LoseRequest,
    /// Another client writes this key and value before the write.
    WriteBefore(String, Vec<u8>),
    /// The write is executed, but its response is lost, and another client then writes this key and
    /// value.
    LoseResponseWriteAfter(String, Vec<u8>),
}

/// An in-memory key-value store that injects faults into reads and writes.
#[derive(Debug, Default)]
pub(crate) struct MemoryStore {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    index: u64,
    entries: BTreeMap<String, Entry>,
    write_faults: VecDeque<Fault>,
    successful_reads: usize,
    failing_reads: usize,
}

impl MemoryStore {
    /// Queues one fault for each of the next writes.
    pub(crate) fn fail_writes(&self, faults: impl IntoIterator<Item = Fault>) {
        self.state.lock().expect("not poisoned").write_faults.extend(faults);
    }

    /// Makes `count` reads fail after the next `successful` ones.
    pub(crate) fn fail_reads_after(&self, successful: usize, count: usize) {
        let mut state = self.state.lock().expect("not poisoned");
        (state.successful_reads, state.failing_reads) = (successful, count);
    }

    /// Writes a key without comparing its index.
    pub(crate) fn put(&self, key: &str, value: &[u8]) {
        self.state.lock().expect("not poisoned").put(key, value);
    }

    /// Returns all keys, in alphabetical order.
    pub(crate) fn keys(&self) -> Vec<String> {
        self.state.lock().expect("not poisoned").entries.keys().cloned().collect()
    }
}

impl State {
    fn put(&mut self, key: &str, value: &[u8]) {
        self.index += 1;
        let entry = Entry { index: self.index, value: Some(value.to_vec()) };
        self.entries.insert(key.to_owned(), entry);
    }

    fn swap(&mut self, key: &str, index: u64, value: &[u8]) -> SwapOutcome {
        if self.entries.get(key).map_or(0, |entry| entry.index) != index {
            return SwapOutcome::Conflict;
        }
        self.put(key, value);
        SwapOutcome::Swapped
    }

    fn start_read(&mut self) -> Result<(), StoreError> {
        if self.successful_reads > 0 {
            self.successful_reads -= 1;
        } else if self.failing_reads > 0 {
            self.failing_reads -= 1;
            return Err(unreachable_error());
        }
        Ok(())
    }
}

fn unreachable_error() -> StoreError {
    StoreError::Unreachable { url: "memory".to_owned(), reason: "connection refused".to_owned() }
}

fn lost_response() -> StoreError {
    StoreError::NoResponse { url: "memory".to_owned(), reason: "response lost".to_owned() }
}

impl KeyValueStore for MemoryStore {
    fn get(&self, key: &str, _deadline: Instant) -> Result<Entry, StoreError> {
        let mut state = self.state.lock().expect("not poisoned");
        state.start_read()?;
        Ok(state.entries.get(key).cloned().unwrap_or_default())
    }

    fn watch(&self, key: &str, _index: u64, deadline: Instant) -> Result<Entry, StoreError> {
        self.get(key, deadline)
    }

    fn compare_and_swap(
        &self,
        key: &str,
        index: u64,
        value: &[u8],
        _deadline: Instant,
    ) -> Result<SwapOutcome, StoreError> {
        let mut state = self.state.lock().expect("not poisoned");
        match state.write_faults.pop_front().unwrap_or(Fault::None) {
            Fault::None => Ok(state.swap(key, index, value)),
            Fault::Unreachable => Err(unreachable_error()),
            Fault::LoseRequest => Err(lost_response()),
            Fault::LoseResponse => {
                state.swap(key, index, value);
                Err(lost_response())
            }
            Fault::WriteBefore(other_key, other_value) => {
                state.put(&other_key, &other_value);
                Ok(state.swap(key, index, value))
            }
            Fault::LoseResponseWriteAfter(other_key, other_value) => {
                state.swap(key, index, value);
                state.put(&other_key, &other_value);
                Err(lost_response())
            }
        }
    }

    fn list(&self, prefix: &str, _deadline: Instant) -> Result<Vec<String>, StoreError> {
        let mut state = self.state.lock().expect("not poisoned");
        state.start_read()?;
        Ok(state.entries.keys().filter(|key| key.starts_with(prefix)).cloned().collect())
    }

    fn remove(&self, key: &str, _deadline: Instant) -> Result<(), StoreError> {
        self.state.lock().expect("not poisoned").entries.remove(key);
        Ok(())
    }
}
