//! Keys into [`Arena`](crate::arena::Arena).

/// A slot index paired with the generation of the slot's occupant.
///
/// Once an entry is removed, its slot's generation changes and the old key no longer resolves. This
/// is how responses that arrive after their request has ended are recognised and dropped.
pub trait ArenaKey: Copy + Eq + core::fmt::Debug {
    /// Builds a key from a slot index and a generation.
    fn from_parts(index: u32, generation: u32) -> Self;
    /// Index of the slot in the arena.
    fn index(self) -> u32;
    /// Generation of the slot at the time the entry was inserted.
    fn generation(self) -> u32;
}

/// Defines a key type for [`Arena`](crate::arena::Arena).
///
/// `$label` prefixes the key in `Debug` and `Display` output, as in `caller-3.1`.
///
/// The serde implementations are hand-written because keys are part of every message between
/// proxies: a key is encoded as a pair, without field names and without a generic struct visitor.
#[macro_export]
macro_rules! arena_key {
    ($(#[$meta:meta])* $name:ident, $label:literal) => {
        $(#[$meta])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name {
            index: u32,
            generation: u32,
        }

        impl $crate::ArenaKey for $name {
            fn from_parts(index: u32, generation: u32) -> Self {
                Self { index, generation }
            }

            fn index(self) -> u32 {
                self.index
            }

            fn generation(self) -> u32 {
                self.generation
            }
        }

        impl core::fmt::Debug for $name {
            fn fmt(&self, f: &mut core::fmt::Formatter<'_>) -> core::fmt::Result {
                write!(f, concat!($label, "-{}.{}"), self.index, self.generation)
            }
        }

        impl core::fmt::Display for $name {
            fn fmt(&self, f: &mut core::fmt::Formatter<'_>) -> core::fmt::Result {
                core::fmt::Debug::fmt(self, f)
            }
        }

        impl serde::Serialize for $name {
            fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serde::Serialize::serialize(&(self.index, self.generation), serializer)
            }
        }

        impl<'de> serde::Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                deserializer.deserialize_tuple(2, $crate::arena::KeyVisitor::<$name>::new())
            }
        }
    };
}
