//! Prepared statements, shared by all sessions.

use std::collections::HashMap;

use bytes::Bytes;
use derive_more::Display;

use super::AccessMode;

/// Id of a prepared statement. The name used at the instances is derived from it instead of the
/// caller's name, so that sessions can share a connection even if they use the same name for
/// different statements.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PreparedId(pub u32);

/// A prepared statement; equal ones share an id.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct PreparedStatement {
    pub mode: AccessMode,
    /// Statement without its arguments, as the caller sent it.
    pub shape: Bytes,
}

/// All prepared statements of all sessions.
#[derive(Debug, Default)]
pub struct PreparedTable {
    ids: HashMap<PreparedStatement, PreparedId>,
    statements: Vec<PreparedStatement>,
}

impl PreparedTable {
    /// Returns the id of a prepared statement and assigns one if it is new.
    pub fn id(&mut self, prepared: PreparedStatement) -> PreparedId {
        if let Some(id) = self.ids.get(&prepared) {
            return *id;
        }
        let id = PreparedId(
            u32::try_from(self.statements.len()).expect("fewer than 2^32 prepared statements"),
        );
        self.statements.push(prepared.clone());
        self.ids.insert(prepared, id);
        id
    }

    /// Returns the prepared statement with an id.
    pub fn get(&self, id: PreparedId) -> &PreparedStatement {
        &self.statements[id.0 as usize]
    }
}
