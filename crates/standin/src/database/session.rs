//! Transactions and settings of one connection.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::describe::{Description, describe};
use super::error::SqlError;
use super::evaluate::Scope;
use super::execute::{Execution, Outcome};
use super::group::STATUS_COLUMNS;
use super::instance::Instance;
use super::project::project;
use super::sql::{Column, Expression, Select, SelectItem, Source, Statement};
use super::storage::Entry;
use super::table::{Changes, View};
use super::value::{Type, Value};

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
    read_only: bool,
    changes: Changes,
    savepoints: Vec<(String, Changes)>,
    /// Term of the primary at the first write; the connection holds the write lock while it is set.
    write_term: Option<u64>,
    holds_slot: bool,
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

    fn query(&mut self, statement: &Statement, parameters: &[Value]) -> Result<Outcome, SqlError> {
        if let Statement::Select(select) = statement {
            let scope = Scope { parameters, ..Scope::default() };
            if let Some(Source::Function { name, arguments }) = &select.from {
                let arguments = evaluate_all(arguments, scope)?;
                return self.group_function(select, name, &arguments, parameters);
            }
            if let Some(("standin_fault", arguments)) = single_call(select) {
                return self.set_fault(&evaluate_all(arguments, scope)?);
            }
        }
        if statement.is_write() {
            self.begin_write()?;
        }
        self.take_slot()?;
        let result = self.query_in_slot(statement, parameters);
        self.release_slot();
        result
    }

    fn query_in_slot(
        &mut self,
        statement: &Statement,
        parameters: &[Value],
    ) -> Result<Outcome, SqlError> {
        let service_time = self.instance.lock().faults.service_time;
        if !self.is_control && !service_time.is_zero() {
            self.sleep(service_time)?;
        }
        if let Statement::Select(select) = statement
            && let Some(("pg_sleep", arguments)) = single_call(select)
        {
            let arguments = evaluate_all(arguments, Scope { parameters, ..Scope::default() })?;
            let seconds = arguments.first().and_then(|value| value.to_text().parse().ok());
            let duration = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
            let duration =
                duration.ok_or_else(|| SqlError::new("22023", "pg_sleep needs seconds"))?;
            self.sleep(duration)?;
            return Ok(Outcome::rows(vec![vec![Value::Text(String::new())]]));
        }
        let state = self.instance.lock();
        let changes = &mut self.changes;
        Execution { tables: &state.storage.tables, changes, parameters }.run(statement)
    }

    fn sleep(&self, duration: Duration) -> Result<(), SqlError> {
        self.instance.wait_statement(self.process_id, Some(duration), |_| false)
    }

    fn group_function(
        &self,
        select: &Select,
        name: &str,
        arguments: &[Value],
        parameters: &[Value],
    ) -> Result<Outcome, SqlError> {
        let row = self.instance.lock().call(name, arguments)?;
        if name != "flamingorock_status" {
            self.instance.notify();
        }
        let columns = STATUS_COLUMNS.map(|name| Column {
            name: name.to_owned(),
            ty: Type::Text,
            not_null: true,
        });
        project(select, &columns, vec![&row], parameters)
    }

    fn set_fault(&self, arguments: &[Value]) -> Result<Outcome, SqlError> {
        let value = match arguments {
            [_, Value::Int(value)] => *value,
            [_, Value::Bool(value)] => i64::from(*value),
            _ => return Err(SqlError::new("22023", "standin_fault needs a name and a number")),
        };
        self.instance.lock().faults.set(&arguments[0].to_text(), value)?;
        self.instance.notify();
        Ok(Outcome::rows(vec![vec![Value::Text("set".to_owned())]]))
    }

    /// Takes the write lock of the instance, which is kept until the transaction ends. The lock comes
    /// before the slot, so that a statement in a slot never waits for another transaction.
    fn begin_write(&mut self) -> Result<(), SqlError> {
        if self.read_only {
            return Err(SqlError::read_only());
        }
        let (process_id, mut term) = (self.process_id, self.write_term);
        self.instance.wait_statement(process_id, None, |state| {
            if state.primary_term.is_some() && state.writer.is_some_and(|pid| pid != process_id) {
                return false;
            }
            if state.primary_term.is_none() || term.is_some_and(|t| state.primary_term != Some(t)) {
                term = None;
                return true;
            }
            term = state.primary_term;
            state.writer = Some(process_id);
            true
        })?;
        if term.is_none() {
            return Err(SqlError::read_only());
        }
        self.write_term = term;
        Ok(())
    }

    fn take_slot(&mut self) -> Result<(), SqlError> {
        if self.is_control {
            return Ok(());
        }
        let slots = self.instance.slots;
        self.instance.wait_statement(self.process_id, None, |state| {
            let free = state.running_statements < slots;
            state.running_statements += usize::from(free);
            free
        })?;
        self.holds_slot = true;
        Ok(())
    }

    fn release_slot(&mut self) {
        if std::mem::take(&mut self.holds_slot) {
            self.instance.lock().running_statements -= 1;
            self.instance.notify();
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

fn evaluate_all(expressions: &[Expression], scope: Scope<'_>) -> Result<Vec<Value>, SqlError> {
    expressions.iter().map(|expression| scope.evaluate(expression)).collect()
}

/// Name and arguments of the call that a query consists of, such as `SELECT pg_sleep(1)`.
fn single_call(select: &Select) -> Option<(&str, &[Expression])> {
    match (&select.from, select.items.as_slice()) {
        (None, [SelectItem::Expression { expression: Expression::Call(name, arguments), .. }]) => {
            Some((name, arguments))
        }
        _ => None,
    }
}
