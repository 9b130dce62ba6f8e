//! Transactions and settings of one connection.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::describe::{Description, describe};
use super::error::SqlError;
use super::execute::Outcome;
use super::instance::Instance;
use super::sql::Statement;
use super::storage::Entry;
use super::table::{Changes, View};
use super::value::Value;

/// Where a connection stands with respect to transactions.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Block {
    Idle,
    /// Transaction without `BEGIN`, up to the end of a simple query or the next `Sync`.
    Implicit,
    Explicit,
    /// Explicit transaction after an error.
    Failed,
}

pub(crate) struct Session {
    pub(crate) instance: Arc<Instance>,
    pub(crate) process_id: i32,
    /// Connections of the control port take no slots and see no faults.
    pub(crate) is_control: bool,
    pub(crate) block: Block,
    pub(crate) settings: BTreeMap<String, String>,
    /// Set when a commit took effect whose answer must not be sent.
    pub(crate) answer_dropped: bool,
    pub(super) read_only: bool,
    pub(super) changes: Changes,
    savepoints: Vec<(String, Changes)>,
    /// Term of the primary at the first write; the connection holds the write lock while it is set.
    pub(super) write_term: Option<u64>,
    pub(super) holds_slot: bool,
}

impl Session {
    pub(crate) fn new(instance: Arc<Instance>, process_id: i32, is_control: bool) -> Self {
        Self {
            instance,
            process_id,
            is_control,
            block: Block::Idle,
            settings: BTreeMap::new(),
            answer_dropped: false,
            read_only: false,
            changes: Changes::default(),
            savepoints: Vec::new(),
            write_term: None,
            holds_slot: false,
        }
    }

    pub(crate) fn describe(
        &self,
        statement: &Statement,
        declared: &[u32],
    ) -> Result<Description, SqlError> {
        let state = self.instance.lock();
        let view = View { tables: &state.storage.tables, changes: &self.changes };
        describe(statement, declared, view)
    }

    /// Runs one statement; outside a transaction block it starts an implicit transaction.
    pub(crate) fn run(
        &mut self,
        statement: &Statement,
        parameters: &[Value],
    ) -> Result<Outcome, SqlError> {
        use Statement::{Begin, Commit, Rollback, RollbackTo};
        if self.block == Block::Failed && !matches!(statement, Commit | Rollback | RollbackTo(_)) {
            return Err(SqlError::new("25P02", "current transaction is aborted"));
        }
        if self.block == Block::Idle {
            self.block = Block::Implicit;
        }
        match statement {
            Begin { read_only } => {
                self.block = Block::Explicit;
                self.read_only = *read_only;
                Ok(Outcome::tag("BEGIN"))
            }
            Commit if self.block != Block::Failed => self.commit().map(|()| Outcome::tag("COMMIT")),
            Commit | Rollback => {
                self.roll_back();
                Ok(Outcome::tag("ROLLBACK"))
            }
            Statement::Savepoint(_) | RollbackTo(_) | Statement::Release(_) => {
                self.savepoint(statement)
            }
            Statement::Set { .. }
            | Statement::Show(_)
            | Statement::DiscardAll
            | Statement::Deallocate(_) => self.setting(statement),
            _ => self.query(statement, parameters),
        }
    }

    /// Ends an implicit transaction at the end of a simple query or at `Sync`.
    pub(crate) fn finish_implicit(&mut self) -> Result<(), SqlError> {
        if self.block == Block::Implicit { self.commit() } else { Ok(()) }
    }

    /// Takes note of an error: an implicit transaction is rolled back, an explicit one has failed.
    pub(crate) fn fail(&mut self) {
        match self.block {
            Block::Explicit | Block::Failed => self.block = Block::Failed,
            Block::Implicit | Block::Idle => self.roll_back(),
        }
    }

    fn commit(&mut self) -> Result<(), SqlError> {
        let changes = std::mem::take(&mut self.changes);
        let write_term = self.write_term;
        let mut state = self.instance.lock();
        let result = match write_term {
            Some(term) if state.stopped || state.primary_term != Some(term) => {
                Err(SqlError::read_only())
            }
            Some(term) if !changes.is_empty() => {
                state.storage.append(Arc::new(Entry { term, changes }));
                if !self.is_control && state.faults.drop_answers > 0 {
                    state.faults.drop_answers -= 1;
                    self.answer_dropped = true;
                }
                Ok(())
            }
            _ => Ok(()),
        };
        drop(state);
        self.roll_back();
        result
    }

    /// Drops the changes that are not committed and releases the write lock.
    fn roll_back(&mut self) {
        self.block = Block::Idle;
        self.read_only = false;
        self.changes = Changes::default();
        self.savepoints.clear();
        if self.write_term.take().is_some() {
            self.instance.lock().writer = None;
            self.instance.notify();
        }
    }

    fn savepoint(&mut self, statement: &Statement) -> Result<Outcome, SqlError> {
        if !matches!(self.block, Block::Explicit | Block::Failed) {
            return Err(SqlError::new("25P01", "savepoints need a transaction block"));
        }
        if let Statement::Savepoint(name) = statement {
            self.savepoints.push((name.clone(), self.changes.clone()));
            return Ok(Outcome::tag("SAVEPOINT"));
        }
        let (Statement::RollbackTo(name) | Statement::Release(name)) = statement else {
            return Err(SqlError::syntax("not a savepoint statement"));
        };
        let found = self.savepoints.iter().rposition(|(savepoint, _)| savepoint == name);
        let position = found
            .ok_or_else(|| SqlError::new("3B001", format!("savepoint {name:?} does not exist")))?;
        if let Statement::Release(_) = statement {
            self.savepoints.truncate(position);
            return Ok(Outcome::tag("RELEASE"));
        }
        self.savepoints.truncate(position + 1);
        self.changes = self.savepoints[position].1.clone();
        self.block = Block::Explicit;
        Ok(Outcome::tag("ROLLBACK"))
    }

    fn setting(&mut self, statement: &Statement) -> Result<Outcome, SqlError> {
        match statement {
            Statement::Set { name, value } => {
                self.settings.insert(name.clone(), value.clone());
                Ok(Outcome::tag("SET"))
            }
            Statement::Show(name) => {
                let unknown = || SqlError::new("42704", format!("unknown setting {name:?}"));
                let value = self.settings.get(name).ok_or_else(unknown)?;
                let rows = vec![vec![Value::Text(value.clone())]];
                Ok(Outcome { rows, tag: "SHOW".to_owned() })
            }
            Statement::DiscardAll if self.block != Block::Implicit => {
                Err(SqlError::new("25001", "DISCARD ALL cannot run inside a transaction block"))
            }
            Statement::DiscardAll => {
                self.settings.clear();
                Ok(Outcome::tag("DISCARD ALL"))
            }
            _ => Ok(Outcome::tag("DEALLOCATE")),
        }
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        self.roll_back();
        self.release_slot();
        let mut state = self.instance.lock();
        state.sessions.remove(&self.process_id);
        state.connections -= usize::from(!self.is_control);
    }
}
