//! Deserialization of arena keys.

use core::fmt;
use core::marker::PhantomData;

use serde::de::{Error, SeqAccess, Visitor};

use crate::ArenaKey;

/// Deserializes a key from the pair of its index and generation.
#[derive(Debug)]
pub struct KeyVisitor<K>(PhantomData<K>);

impl<K> KeyVisitor<K> {
    /// Creates a visitor; it carries no state.
    #[must_use]
    pub fn new() -> Self {
        Self(PhantomData)
    }
}

impl<K> Default for KeyVisitor<K> {
    fn default() -> Self {
        Self::new()
    }
}

impl<'de, K: ArenaKey> Visitor<'de> for KeyVisitor<K> {
    type Value = K;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an index and a generation")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<K, A::Error> {
        let index = seq.next_element()?.ok_or_else(|| A::Error::invalid_length(0, &self))?;
        let generation = seq.next_element()?.ok_or_else(|| A::Error::invalid_length(1, &self))?;
        Ok(K::from_parts(index, generation))
    }
}
