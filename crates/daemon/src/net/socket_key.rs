//! Keys of sockets.

use flamingorock_core::ArenaKey;
use mio::Token;

/// Kinds of sockets, each kept in a table of its own. The value is part of a socket's [`Token`]; 0
/// is reserved for the fixed tokens of a thread, such as those of its listeners and its waker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum SocketTable {
    /// Connections of callers.
    Callers = 1,
    /// Connections to backend servers.
    Backends = 2,
    /// Monitor connections to database instances.
    Monitors = 3,
    /// Links opened by other proxies.
    IncomingLinks = 4,
    /// Links opened to other proxies.
    OutgoingLinks = 5,
    /// Connections that carry one cancel request to a backend server.
    Cancels = 6,
    /// HTTP connections to other systems, one per call.
    OutgoingHttp = 7,
    /// HTTP connections to this process.
    IncomingHttp = 8,
}

impl SocketTable {
    /// Table of the socket with a token; `None` for a fixed token.
    #[must_use]
    pub fn of(token: Token) -> Option<Self> {
        match token.0 >> TABLE_SHIFT {
            1 => Some(Self::Callers),
            2 => Some(Self::Backends),
            3 => Some(Self::Monitors),
            4 => Some(Self::IncomingLinks),
            5 => Some(Self::OutgoingLinks),
            6 => Some(Self::Cancels),
            7 => Some(Self::OutgoingHttp),
            8 => Some(Self::IncomingHttp),
            _ => None,
        }
    }
}

const TABLE_SHIFT: u32 = 60;
const GENERATION_SHIFT: u32 = 28;
const INDEX_MASK: usize = (1 << GENERATION_SHIFT) - 1;

/// Key of a socket in the table with the number `TABLE`.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct SocketKey<const TABLE: u8> {
    index: u32,
    generation: u32,
}

/// Key of a caller's socket.
pub type CallerSocketKey = SocketKey<{ SocketTable::Callers as u8 }>;
/// Key of a connection to a backend server.
pub type BackendSocketKey = SocketKey<{ SocketTable::Backends as u8 }>;
/// Key of a monitor connection.
pub type MonitorSocketKey = SocketKey<{ SocketTable::Monitors as u8 }>;
/// Key of a link that another proxy opened.
pub type IncomingLinkKey = SocketKey<{ SocketTable::IncomingLinks as u8 }>;
/// Key of a link to another proxy.
pub type OutgoingLinkKey = SocketKey<{ SocketTable::OutgoingLinks as u8 }>;
/// Key of a connection that carries a cancel request.
pub type CancelSocketKey = SocketKey<{ SocketTable::Cancels as u8 }>;

/// Key of an HTTP connection to another system.
pub type OutgoingHttpKey = SocketKey<{ SocketTable::OutgoingHttp as u8 }>;
/// Key of an HTTP connection to this process.
pub type IncomingHttpKey = SocketKey<{ SocketTable::IncomingHttp as u8 }>;

impl<const TABLE: u8> ArenaKey for SocketKey<TABLE> {
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

impl<const TABLE: u8> From<SocketKey<TABLE>> for Token {
    /// Encodes 4 bits of table, 32 bits of generation and 28 bits of index, which is more sockets
    /// than a process can open.
    fn from(key: SocketKey<TABLE>) -> Self {
        let index = key.index as usize;
        debug_assert!(index <= INDEX_MASK, "fewer than 2^28 sockets");
        Token(
            usize::from(TABLE) << TABLE_SHIFT
                | (key.generation as usize) << GENERATION_SHIFT
                | index & INDEX_MASK,
        )
    }
}

impl<const TABLE: u8> From<Token> for SocketKey<TABLE> {
    /// Decodes a token, which must be of this table; see [`SocketTable::of`].
    fn from(token: Token) -> Self {
        debug_assert_eq!(token.0 >> TABLE_SHIFT, usize::from(TABLE));
        Self {
            index: (token.0 & INDEX_MASK) as u32,
            generation: (token.0 >> GENERATION_SHIFT) as u32,
        }
    }
}
