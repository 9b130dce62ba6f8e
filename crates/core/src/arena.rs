//! Generational arenas: tables of entities addressed by small `Copy` keys.

mod key_visitor;

pub use key_visitor::KeyVisitor;

use core::marker::PhantomData;

use crate::ArenaKey;

#[derive(Clone, Debug)]
struct Slot<T> {
    generation: u32,
    value: Option<T>,
}

/// A table of entities of type `T` addressed by keys of type `K`.
///
/// Slots are reused. Each removal increments the slot's generation, so the key of a removed entry
/// does not resolve to the entry that reuses the slot. Generations wrap around after 2^32 removals.
#[derive(Clone, Debug)]
pub struct Arena<K, T> {
    slots: Vec<Slot<T>>,
    free: Vec<u32>,
    marker: PhantomData<fn() -> K>,
}

impl<K: ArenaKey, T> Arena<K, T> {
    /// Creates an empty arena.
    #[must_use]
    pub fn new() -> Self {
        Self { slots: Vec::new(), free: Vec::new(), marker: PhantomData }
    }

    /// Inserts an entry and returns its key.
    pub fn insert(&mut self, value: T) -> K {
        self.insert_with(|_| value)
    }

    /// Inserts the entry that `build` returns for the new key, for entries that store their own
    /// key.
    pub fn insert_with(&mut self, build: impl FnOnce(K) -> T) -> K {
        let index = match self.free.pop() {
            Some(index) => index,
            None => {
                let index = u32::try_from(self.slots.len()).expect("fewer than 2^32 entries");
                self.slots.push(Slot { generation: 0, value: None });
                index
            }
        };
        let slot = &mut self.slots[index as usize];
        let key = K::from_parts(index, slot.generation);
        slot.value = Some(build(key));
        key
    }

    /// Returns the entry, or `None` if it has been removed.
    #[must_use]
    pub fn get(&self, key: K) -> Option<&T> {
        let slot = self.slots.get(key.index() as usize)?;
        if slot.generation != key.generation() {
            return None;
        }
        slot.value.as_ref()
    }

    /// Returns the entry mutably, or `None` if it has been removed.
    pub fn get_mut(&mut self, key: K) -> Option<&mut T> {
        let slot = self.slots.get_mut(key.index() as usize)?;
        if slot.generation != key.generation() {
            return None;
        }
        slot.value.as_mut()
    }

    /// Whether the key still resolves to an entry.
    #[must_use]
    pub fn contains(&self, key: K) -> bool {
        self.get(key).is_some()
    }

    /// Removes the entry and returns it, or `None` if it has already been removed.
    pub fn remove(&mut self, key: K) -> Option<T> {
        let slot = self.slots.get_mut(key.index() as usize)?;
        if slot.generation != key.generation() {
            return None;
        }
        let value = slot.value.take()?;
        slot.generation = slot.generation.wrapping_add(1);
        self.free.push(key.index());
        Some(value)
    }

    /// Iterates over the entries in slot order.
    pub fn iter(&self) -> impl Iterator<Item = (K, &T)> {
        self.slots.iter().enumerate().filter_map(|(index, slot)| {
            let value = slot.value.as_ref()?;
            Some((K::from_parts(index as u32, slot.generation), value))
        })
    }

    /// Iterates mutably over the entries in slot order.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (K, &mut T)> {
        self.slots.iter_mut().enumerate().filter_map(|(index, slot)| {
            let key = K::from_parts(index as u32, slot.generation);
            Some((key, slot.value.as_mut()?))
        })
    }

    /// Returns the keys of all entries for which `condition` holds, in slot order.
    pub fn keys_where(&self, mut condition: impl FnMut(&T) -> bool) -> Vec<K> {
        self.iter().filter(|(_, value)| condition(value)).map(|(key, _)| key).collect()
    }

    /// Number of occupied slots.
    #[must_use]
    pub fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    /// Whether no slot is occupied.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl<K: ArenaKey, T> Default for Arena<K, T> {
    fn default() -> Self {
        Self::new()
    }
}
