//! Prepared statements of a caller.

use std::collections::HashMap;

use bytes::Bytes;
use core::ops::Range;
use flamingorock_core::StatementKind;

use super::LocalStatement;

/// What runs a prepared statement.
#[derive(Clone, Debug)]
pub(crate) enum StatementTarget {
    /// A backend server, with what the statement may do.
    Backend(StatementKind),
    /// The proxy.
    Local(LocalStatement),
}

/// The `Parse` message of a statement, with the empty statement name.
#[derive(Clone, Debug)]
pub(crate) enum ParseMessage {
    /// Bytes of their own, or none for a statement of the proxy.
    Owned(Bytes),
    /// A part of the payload that is being built.
    InPayload(Range<usize>),
}

/// A prepared statement of a caller.
#[derive(Clone, Debug)]
pub(crate) struct KeptStatement {
    pub(crate) parse: ParseMessage,
    pub(crate) target: StatementTarget,
}

impl KeptStatement {
    fn size_bytes(&self) -> usize {
        match &self.parse {
            ParseMessage::Owned(bytes) => bytes.len(),
            ParseMessage::InPayload(range) => range.len(),
        }
    }

    /// Turns a part of the payload into bytes that share it.
    pub(crate) fn resolve(&mut self, payload: &Bytes) {
        if let ParseMessage::InPayload(range) = &self.parse {
            self.parse = ParseMessage::Owned(payload.slice(range.clone()));
        }
    }
}

/// Prepared statements of a caller. The unnamed statement does not count towards the limits, since
/// it replaces the former one.
#[derive(Debug, Default)]
pub(crate) struct KeptStatements {
    unnamed: Option<KeptStatement>,
    named: HashMap<Box<[u8]>, KeptStatement>,
    named_bytes: usize,
}

impl KeptStatements {
    pub(crate) fn get(&self, name: &[u8]) -> Option<&KeptStatement> {
        if name.is_empty() { self.unnamed.as_ref() } else { self.named.get(name) }
    }

    /// Number of named statements.
    pub(crate) fn named_count(&self) -> usize {
        self.named.len()
    }

    /// Total size of the named statements with their names.
    pub(crate) fn named_bytes(&self) -> usize {
        self.named_bytes
    }

    pub(crate) fn insert(&mut self, name: &[u8], statement: KeptStatement) {
        if name.is_empty() {
            self.unnamed = Some(statement);
            return;
        }
        self.remove(name);
        self.named_bytes += size_of(name, &statement);
        self.named.insert(name.into(), statement);
    }

    pub(crate) fn remove(&mut self, name: &[u8]) {
        if name.is_empty() {
            self.unnamed = None;
        } else if let Some(statement) = self.named.remove(name) {
            self.named_bytes -= size_of(name, &statement);
        }
    }

    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }
}

/// Size that a named statement counts for.
pub(crate) fn size_of(name: &[u8], statement: &KeptStatement) -> usize {
    name.len() + statement.size_bytes()
}
