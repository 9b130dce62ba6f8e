//! Keys of arena entries.

/// A key that pairs a slot index with the generation of the slot's occupant.
///
/// A key outlives its entry harmlessly: once the entry is removed the slot's generation moves on and
/// the old key finds nothing. Late answers are recognised this way.
pub trait ArenaKey: Copy + Eq + core::fmt::Debug {
    /// Builds a key from its parts.
    fn from_parts(index: u32, generation: u32) -> Self;
    /// Slot index.
    fn index(self) -> u32;
    /// Generation of the slot's occupant.
    fn generation(self) -> u32;
}

/// Defines a key type for [`Arena`](crate::arena::Arena).
///
/// The serde implementations are written by hand because keys travel in every message between
/// proxies: a key is a pair, with no field names and no generic struct visitor.
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
