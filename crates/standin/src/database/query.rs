//! Execution of one query: the function calls of the group and of faults, write lock and slots.

use std::time::Duration;

use super::error::SqlError;
use super::evaluate::Scope;
use super::execute::{Execution, Outcome};
use super::group::STATUS_COLUMNS;
use super::project::project;
use super::session::Session;
use super::sql::{Column, Expression, Select, SelectItem, Source, Statement};
use super::value::{Type, Value};

/// Longest argument of `pg_sleep`: one day, so that adding it to a time cannot overflow.
const SLEEP_LIMIT_S: f64 = 86_400.0;

impl Session {
    pub(super) fn query(
        &mut self,
        statement: &Statement,
        parameters: &[Value],
    ) -> Result<Outcome, SqlError> {
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
        let service_time_us = self.instance.lock().faults.service_time_us;
        let service_time = Duration::from_micros(service_time_us);
        if !self.is_control && !service_time.is_zero() {
            self.sleep(service_time)?;
        }
        if let Statement::Select(select) = statement
            && let Some(("pg_sleep", arguments)) = single_call(select)
        {
            let arguments = evaluate_all(arguments, Scope { parameters, ..Scope::default() })?;
            let seconds = arguments.first().and_then(|value| value.to_text().parse::<f64>().ok());
            let seconds = seconds.filter(|seconds| (0.0..=SLEEP_LIMIT_S).contains(seconds));
            let error = || SqlError::new("22023", "pg_sleep takes at most a day of seconds");
            let duration = Duration::from_secs_f64(seconds.ok_or_else(error)?);
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

    pub(super) fn release_slot(&mut self) {
        if std::mem::take(&mut self.holds_slot) {
            self.instance.lock().running_statements -= 1;
            self.instance.notify();
        }
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
