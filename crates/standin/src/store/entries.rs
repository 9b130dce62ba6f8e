//! Keys and values with their indexes.

use std::collections::BTreeMap;

use super::error::StoreError;

#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) value: Vec<u8>,
    pub(super) create_index: u64,
    pub(super) modify_index: u64,
    /// Number of times that the lock of the key was acquired.
    pub(super) lock_index: u64,
    /// Session that holds the lock.
    pub(super) session: Option<String>,
}

/// One state of a key.
#[derive(Clone, Debug, Default)]
struct Version {
    /// `None` before the key is created and after it is deleted.
    entry: Option<Entry>,
    /// Index of the change that led to this version.
    index: u64,
}

#[derive(Debug, Default)]
struct Slot {
    current: Version,
    previous: Version,
}

/// Condition and effect of a `PUT`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Write {
    Always,
    /// Only if the key was last modified at this index; 0 if it must not exist.
    CompareAndSwap(u64),
    /// Only if no other session holds the lock, which is taken.
    Acquire(String),
    /// Only if the session holds the lock, which is released.
    Release(String),
}

impl Write {
    pub(super) fn from_query(query: &BTreeMap<String, String>) -> Result<Self, StoreError> {
        if let Some(index) = query.get("cas") {
            let index = index.parse().map_err(|_| StoreError::value("cas", index))?;
            return Ok(Self::CompareAndSwap(index));
        }
        let acquire = query.get("acquire").cloned().map(Self::Acquire);
        let release = query.get("release").cloned().map(Self::Release);
        Ok(acquire.or(release).unwrap_or(Self::Always))
    }

    /// Whether the write is allowed; gives the session that holds the lock afterwards.
    fn check(&self, entry: Option<&Entry>) -> Option<Option<String>> {
        let holder = entry.and_then(|entry| entry.session.clone());
        let modify_index = entry.map_or(0, |entry| entry.modify_index);
        match self {
            Self::Always => Some(holder),
            Self::CompareAndSwap(index) => (*index == modify_index).then_some(holder),
            Self::Acquire(session) => {
                holder.is_none_or(|holder| holder == *session).then(|| Some(session.clone()))
            }
            Self::Release(session) => (holder.as_ref() == Some(session)).then_some(None),
        }
    }
}

#[derive(Debug, Default)]
pub(super) struct Entries {
    /// Index of the last change of any key.
    index: u64,
    slots: BTreeMap<String, Slot>,
}

impl Entries {
    /// State of a key and its index, which is 1 for a key that never existed. A stale read sees the
    /// state before the last change.
    pub(super) fn read(&self, key: &str, is_stale: bool) -> (Option<&Entry>, u64) {
        let Some(slot) = self.slots.get(key) else { return (None, 1) };
        let version = if is_stale { &slot.previous } else { &slot.current };
        (version.entry.as_ref(), version.index.max(1))
    }

    /// Writes a value unless the condition of the write fails.
    pub(super) fn write(&mut self, key: &str, value: &[u8], write: &Write) -> bool {
        let (old, _) = self.read(key, false);
        let Some(session) = write.check(old) else { return false };
        let acquired = session.is_some() && old.is_none_or(|old| old.session != session);
        // Index 1 stands for a key that never existed, so the first change has index 2.
        let index = self.index.max(1) + 1;
        let entry = Entry {
            value: value.to_vec(),
            create_index: old.map_or(index, |old| old.create_index),
            modify_index: index,
            lock_index: old.map_or(0, |old| old.lock_index) + u64::from(acquired),
            session,
        };
        self.change(key, Some(entry), index);
        true
    }

    /// Keys with a prefix in their order, and the index of the last change among them, which is 1 if
    /// none ever existed. A stale read sees the state before the last change of each key.
    pub(super) fn keys(&self, prefix: &str, is_stale: bool) -> (Vec<&str>, u64) {
        let (mut keys, mut last_index) = (Vec::new(), 1);
        for key in self.slots.keys().filter(|key| key.starts_with(prefix)) {
            let (entry, index) = self.read(key, is_stale);
            last_index = last_index.max(index);
            keys.extend(entry.map(|_| key.as_str()));
        }
        (keys, last_index)
    }

    /// Deletes a key; a key that does not exist is left alone.
    pub(super) fn delete(&mut self, key: &str) {
        if self.read(key, false).0.is_some() {
            self.change(key, None, self.index + 1);
        }
    }

    /// Releases or deletes all keys that a session holds.
    pub(super) fn release_all(&mut self, session: &str, deletes: bool) {
        let held = self.slots.iter().filter_map(|(key, slot)| {
            let entry = slot.current.entry.as_ref()?;
            (entry.session.as_deref() == Some(session)).then(|| (key.clone(), entry.clone()))
        });
        for (key, entry) in held.collect::<Vec<_>>() {
            let index = self.index + 1;
            let released = Entry { session: None, modify_index: index, ..entry };
            self.change(&key, (!deletes).then_some(released), index);
        }
    }

    fn change(&mut self, key: &str, entry: Option<Entry>, index: u64) {
        self.index = index;
        let slot = self.slots.entry(key.to_owned()).or_default();
        slot.previous = std::mem::replace(&mut slot.current, Version { entry, index });
    }
}
