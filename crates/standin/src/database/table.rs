//! Tables of rows, and the changes that a transaction makes to them.

use std::collections::BTreeMap;
use std::iter;

use serde::{Deserialize, Serialize};

use super::error::SqlError;
use super::sql::Column;
use super::value::{Row, Value};

/// Values of the primary key; a running number for a table without one.
pub(crate) type Key = Vec<Value>;

#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Definition {
    pub(crate) columns: Vec<Column>,
    /// Positions of the columns of the primary key; empty without one.
    pub(crate) primary_key: Vec<usize>,
}

impl Definition {
    pub(crate) fn column(&self, name: &str) -> Result<usize, SqlError> {
        let missing = || SqlError::new("42703", format!("column {name:?} does not exist"));
        self.columns.iter().position(|column| column.name == name).ok_or_else(missing)
    }
}

#[derive(Debug)]
struct Table {
    definition: Definition,
    rows: BTreeMap<Key, Row>,
}

/// Committed contents of an instance.
#[derive(Debug, Default)]
pub(crate) struct Tables(BTreeMap<String, Table>);

/// Changes of one transaction: its own view on top of the committed tables until it commits, and the
/// contents of its log entry afterwards.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(crate) struct Changes {
    /// Created or replaced tables, and `None` for dropped ones.
    tables: BTreeMap<String, Option<Definition>>,
    /// Written rows by table, and `None` for deleted ones.
    rows: BTreeMap<String, BTreeMap<Key, Option<Row>>>,
}

impl Tables {
    pub(crate) fn apply(&mut self, changes: &Changes) {
        for (name, definition) in &changes.tables {
            match definition.clone() {
                Some(definition) => {
                    self.0.insert(name.clone(), Table { definition, rows: BTreeMap::new() });
                }
                None => drop(self.0.remove(name)),
            }
        }
        for (name, rows) in &changes.rows {
            let Some(table) = self.0.get_mut(name) else { continue };
            for (key, row) in rows {
                match row {
                    Some(row) => drop(table.rows.insert(key.clone(), row.clone())),
                    None => drop(table.rows.remove(key)),
                }
            }
        }
    }
}

impl Changes {
    pub(crate) fn is_empty(&self) -> bool {
        self.tables.is_empty() && self.rows.is_empty()
    }

    pub(crate) fn set_table(&mut self, name: &str, definition: Option<Definition>) {
        self.rows.remove(name);
        self.tables.insert(name.to_owned(), definition);
    }

    pub(crate) fn set_row(&mut self, table: &str, key: Key, row: Option<Row>) {
        self.rows.entry(table.to_owned()).or_default().insert(key, row);
    }
}

/// What a transaction sees: the committed tables with its own changes on top.
#[derive(Clone, Copy)]
pub(crate) struct View<'a> {
    pub(crate) tables: &'a Tables,
    pub(crate) changes: &'a Changes,
}

impl<'a> View<'a> {
    pub(crate) fn definition(self, table: &str) -> Result<&'a Definition, SqlError> {
        let definition = match self.changes.tables.get(table) {
            Some(changed) => changed.as_ref(),
            None => self.tables.0.get(table).map(|table| &table.definition),
        };
        definition
            .ok_or_else(|| SqlError::new("42P01", format!("relation {table:?} does not exist")))
    }

    pub(crate) fn row(self, table: &str, key: &Key) -> Option<(&'a Key, &'a Row)> {
        match self.changes.rows.get(table).and_then(|rows| rows.get_key_value(key)) {
            Some((key, changed)) => changed.as_ref().map(|row| (key, row)),
            None => self.committed(table)?.get_key_value(key),
        }
    }

    /// All rows of a table; rows that the transaction has written come last.
    pub(crate) fn rows(self, table: &str) -> impl Iterator<Item = (&'a Key, &'a Row)> {
        let changed = self.changes.rows.get(table);
        let hidden = move |key: &Key| changed.is_some_and(|rows| rows.contains_key(key));
        let committed = self.committed(table).into_iter().flatten();
        let written = changed.into_iter().flatten();
        committed
            .filter(move |(key, _)| !hidden(key))
            .chain(written.filter_map(|(key, row)| row.as_ref().map(|row| (key, row))))
    }

    /// Unused key for a row of a table without a primary key.
    pub(crate) fn next_row_number(self, table: &str) -> Key {
        let committed = self.committed(table).and_then(BTreeMap::last_key_value);
        let changed = self.changes.rows.get(table).and_then(BTreeMap::last_key_value);
        let keys = iter::chain(committed.map(|(key, _)| key), changed.map(|(key, _)| key));
        match keys.max().map(Vec::as_slice) {
            Some([Value::Int(last)]) => vec![Value::Int(last + 1)],
            _ => vec![Value::Int(1)],
        }
    }

    fn committed(self, table: &str) -> Option<&'a BTreeMap<Key, Row>> {
        if self.changes.tables.contains_key(table) {
            return None;
        }
        self.tables.0.get(table).map(|table| &table.rows)
    }
}
