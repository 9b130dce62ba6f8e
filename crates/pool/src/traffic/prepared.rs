//! Prepared statements, shared by all sessions.

use std::collections::HashMap;

use bytes::Bytes;
use derive_more::Display;

use super::AccessMode;

/// Number of a prepared shape. Its name at the instances is made from it, so that sessions whose
/// own names collide share connections.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PreparedId(pub u32);

/// A prepared statement.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct PreparedStatement {
    pub mode: AccessMode,
    pub shape: Bytes,
}

/// All shapes that sessions have prepared.
#[derive(Debug, Default)]
pub struct PreparedTable {
    ids: HashMap<PreparedStatement, PreparedId>,
    statements: Vec<PreparedStatement>,
}

impl PreparedTable {
    /// Number of a shape, a new one if it has none.
    pub fn id(&mut self, prepared: PreparedStatement) -> PreparedId {
        if let Some(id) = self.ids.get(&prepared) {
            return *id;
        }
        let id = PreparedId(u32::try_from(self.statements.len()).expect("fewer than 2^32 shapes"));
        self.statements.push(prepared.clone());
        self.ids.insert(prepared, id);
        id
    }

    /// The shape with a number.
    pub fn get(&self, id: PreparedId) -> &PreparedStatement {
        &self.statements[id.0 as usize]
    }
}
