//! Positions in the replicated log of a database.

use core::fmt;

use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::{Lsn, Term};

/// A position in the replicated log of a database, ordered by term first.
///
/// An instance whose last entry has a later term than a given position includes everything that was
/// acknowledged up to that position, because promotion chooses the most advanced instance of a
/// majority.
#[derive(Clone, Copy, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Position {
    /// Term of the log entry.
    pub term: Term,
    /// Sequence number of the log entry.
    pub lsn: Lsn,
}

impl Position {
    /// Creates a position from a term and a sequence number.
    #[must_use]
    pub fn new(term: Term, lsn: Lsn) -> Self {
        Self { term, lsn }
    }
}

impl fmt::Debug for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.term, self.lsn)
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, f)
    }
}

// Hand-written because positions are part of every request and response between proxies: a position
// is encoded as a pair, without field names and without a generic struct visitor.
impl Serialize for Position {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (self.term.0, self.lsn.0).serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for Position {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(2, PositionVisitor)
    }
}

struct PositionVisitor;

impl<'de> Visitor<'de> for PositionVisitor {
    type Value = Position;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a term and a log sequence number")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Position, A::Error> {
        let term = seq.next_element()?.ok_or_else(|| A::Error::invalid_length(0, &self))?;
        let lsn = seq.next_element()?.ok_or_else(|| A::Error::invalid_length(1, &self))?;
        Ok(Position::new(Term(term), Lsn(lsn)))
    }
}
