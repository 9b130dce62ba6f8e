//! Fakes for tests of the platform's clients and of the command line.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Mutex;
use std::time::Instant;

use flamingorock_platform::{Entry, KeyValueStore, StoreError, SwapOutcome};

/// A fault of the next write.
#[derive(Clone, Debug)]
pub(crate) enum Fault {
    /// No fault.
    None,
    /// The write is not carried out.
    Unreachable,
    /// The write is carried out, but its answer is lost.
    LoseResponse,
    /// The write is not carried out, and the caller cannot tell.
    LoseRequest,
    /// Somebody else writes this key and value first.
    WriteBefore(String, Vec<u8>),
    /// The answer is lost, and somebody else writes this key and value after the write.
    LoseResponseWriteAfter(String, Vec<u8>),
}

/// A key-value service in memory that can lose answers.
#[derive(Debug, Default)]
pub(crate) struct MemoryStore {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    index: u64,
    entries: BTreeMap<String, Entry>,
    write_faults: VecDeque<Fault>,
    working_reads: usize,
    read_faults: usize,
}

impl MemoryStore {
    /// Sets the faults of the next writes.
    pub(crate) fn fail_writes(&self, faults: impl IntoIterator<Item = Fault>) {
        self.state.lock().expect("not poisoned").write_faults.extend(faults);
    }

    /// Lets `count` reads fail after the next `working` ones.
    pub(crate) fn fail_reads_after(&self, working: usize, count: usize) {
        let mut state = self.state.lock().expect("not poisoned");
        (state.working_reads, state.read_faults) = (working, count);
    }

    /// Writes a key whatever its index is.
    pub(crate) fn put(&self, key: &str, value: &[u8]) {
        self.state.lock().expect("not poisoned").put(key, value);
    }

    /// All keys.
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
        if self.working_reads > 0 {
            self.working_reads -= 1;
        } else if self.read_faults > 0 {
            self.read_faults -= 1;
            return Err(unreachable_error());
        }
        Ok(())
    }
}

fn unreachable_error() -> StoreError {
    StoreError::Unreachable { url: "memory".to_owned(), reason: "connection refused".to_owned() }
}

fn lost_answer() -> StoreError {
    StoreError::NoResponse { url: "memory".to_owned(), reason: "answer lost".to_owned() }
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
            Fault::LoseRequest => Err(lost_answer()),
            Fault::LoseResponse => {
                state.swap(key, index, value);
                Err(lost_answer())
            }
            Fault::WriteBefore(other_key, other_value) => {
                state.put(&other_key, &other_value);
                Ok(state.swap(key, index, value))
            }
            Fault::LoseResponseWriteAfter(other_key, other_value) => {
                state.swap(key, index, value);
                state.put(&other_key, &other_value);
                Err(lost_answer())
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
