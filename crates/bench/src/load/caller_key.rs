//! Keys of the callers in the arena of the load generator.

use flamingorock_core::ArenaKey;
use mio::Token;

/// Identifies a caller in the arena; it is also the `mio` token of its socket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct CallerKey {
    index: u32,
    generation: u32,
}

impl ArenaKey for CallerKey {
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

impl From<CallerKey> for Token {
    /// Packs both parts into the token, which is 64 bits wide: the benchmark supports 64-bit
    /// systems only.
    fn from(key: CallerKey) -> Self {
        Self((key.generation as usize) << 32 | key.index as usize)
    }
}

impl From<Token> for CallerKey {
    fn from(token: Token) -> Self {
        Self { index: token.0 as u32, generation: (token.0 >> 32) as u32 }
    }
}
