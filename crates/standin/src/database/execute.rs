//! Execution of queries and changes on the view of a transaction.

use super::error::SqlError;
use super::evaluate::Scope;
use super::project::{checked, fixed_key, output_row, project, target_columns};
use super::sql::{CreateTable, Expression, Select, SelectItem, Source, Statement};
use super::table::{Changes, Definition, Key, Tables, View};
use super::value::{Row, Value};

/// Result of a statement.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) rows: Vec<Row>,
    /// Command tag of the answer.
    pub(crate) tag: String,
}

impl Outcome {
    pub(crate) fn tag(tag: &str) -> Self {
        Self { rows: Vec::new(), tag: tag.to_owned() }
    }

    pub(crate) fn rows(rows: Vec<Row>) -> Self {
        Self { tag: format!("SELECT {}", rows.len()), rows }
    }
}

/// One statement on the committed tables and the changes of its transaction.
pub(crate) struct Execution<'a> {
    pub(crate) tables: &'a Tables,
    pub(crate) changes: &'a mut Changes,
    pub(crate) parameters: &'a [Value],
}

impl Execution<'_> {
    pub(crate) fn run(&mut self, statement: &Statement) -> Result<Outcome, SqlError> {
        match statement {
            Statement::Select(select) => self.select_from_table(select),
            Statement::Insert { table, columns, rows, returning } => {
                self.insert(table, columns, rows, returning)
            }
            Statement::Update { table, set, filter, returning } => {
                self.update(table, set, filter.as_ref(), returning)
            }
            Statement::Delete { table, filter, returning } => {
                self.delete(table, filter.as_ref(), returning)
            }
            Statement::CreateTable(definition) => self.create_table(definition),
            Statement::DropTable { table, if_exists } => self.drop_table(table, *if_exists),
            _ => Err(SqlError::new("0A000", "statement is not supported here")),
        }
    }

    fn view(&self) -> View<'_> {
        View { tables: self.tables, changes: self.changes }
    }

    fn select_from_table(&self, select: &Select) -> Result<Outcome, SqlError> {
        let Some(Source::Table(table)) = &select.from else {
            return project(select, &[], vec![&Vec::new()], self.parameters);
        };
        let definition = self.view().definition(table)?;
        let rows = self.matching(table, select.filter.as_ref())?;
        let rows = rows.into_iter().map(|(_, row)| row).collect();
        project(select, &definition.columns, rows, self.parameters)
    }

    /// Rows that satisfy a condition. A condition that fixes the whole primary key reads one row.
    fn matching(
        &self,
        table: &str,
        filter: Option<&Expression>,
    ) -> Result<Vec<(&Key, &Row)>, SqlError> {
        let view = self.view();
        let definition = view.definition(table)?;
        let scope =
            Scope { parameters: self.parameters, columns: &definition.columns, ..Scope::default() };
        if let Some(key) = fixed_key(definition, scope, filter)? {
            let found = view.row(table, &key);
            return match found {
                Some((key, row)) if (Scope { row: Some(row), ..scope }).accepts(filter)? => {
                    Ok(vec![(key, row)])
                }
                _ => Ok(Vec::new()),
            };
        }
        let mut found = Vec::new();
        for (key, row) in view.rows(table) {
            if (Scope { row: Some(row), ..scope }).accepts(filter)? {
                found.push((key, row));
            }
        }
        Ok(found)
    }

    fn insert(
        &mut self,
        table: &str,
        columns: &[String],
        rows: &[Vec<Expression>],
        returning: &[SelectItem],
    ) -> Result<Outcome, SqlError> {
        let definition = self.view().definition(table)?.clone();
        let positions = target_columns(&definition, columns)?;
        let scope = Scope { parameters: self.parameters, ..Scope::default() };
        let mut inserted = Vec::new();
        for expressions in rows {
            if expressions.len() != positions.len() {
                return Err(SqlError::syntax("INSERT has another number of values than columns"));
            }
            let mut row = vec![Value::Null; definition.columns.len()];
            for (position, expression) in positions.iter().zip(expressions) {
                row[*position] = scope.evaluate(expression)?;
            }
            let row = checked(&definition, row)?;
            self.put(table, &definition, row.clone())?;
            inserted.push(row);
        }
        self.answer_change("INSERT 0", &definition, &inserted, returning)
    }

    fn update(
        &mut self,
        table: &str,
        set: &[(String, Expression)],
        filter: Option<&Expression>,
        returning: &[SelectItem],
    ) -> Result<Outcome, SqlError> {
        let definition = self.view().definition(table)?.clone();
        let found = self.matching(table, filter)?;
        let mut updated = Vec::new();
        for (key, row) in found {
            let scope = Scope {
                parameters: self.parameters,
                columns: &definition.columns,
                row: Some(row),
                group: &[],
            };
            let mut new = row.clone();
            for (name, expression) in set {
                new[definition.column(name)?] = scope.evaluate(expression)?;
            }
            updated.push((key.clone(), checked(&definition, new)?));
        }
        // All old rows go first, so that an update that shifts keys does not collide with itself.
        for (key, _) in &updated {
            self.changes.set_row(table, key.clone(), None);
        }
        let mut rows = Vec::new();
        for (key, row) in updated {
            if definition.primary_key.is_empty() {
                self.changes.set_row(table, key, Some(row.clone()));
            } else {
                self.put(table, &definition, row.clone())?;
            }
            rows.push(row);
        }
        self.answer_change("UPDATE", &definition, &rows, returning)
    }

    fn delete(
        &mut self,
        table: &str,
        filter: Option<&Expression>,
        returning: &[SelectItem],
    ) -> Result<Outcome, SqlError> {
        let definition = self.view().definition(table)?.clone();
        let found = self.matching(table, filter)?;
        let (keys, rows): (Vec<_>, Vec<_>) =
            found.into_iter().map(|(key, row)| (key.clone(), row.clone())).unzip();
        for key in keys {
            self.changes.set_row(table, key, None);
        }
        self.answer_change("DELETE", &definition, &rows, returning)
    }

    /// Adds a row whose key must be unused.
    fn put(&mut self, table: &str, definition: &Definition, row: Row) -> Result<(), SqlError> {
        let key: Key = if definition.primary_key.is_empty() {
            self.view().next_row_number(table)
        } else {
            definition.primary_key.iter().map(|position| row[*position].clone()).collect()
        };
        if self.view().row(table, &key).is_some() {
            let message = format!("duplicate key value violates unique constraint {table}_pkey");
            return Err(SqlError::new("23505", message));
        }
        self.changes.set_row(table, key, Some(row));
        Ok(())
    }

    fn answer_change(
        &self,
        command: &str,
        definition: &Definition,
        rows: &[Row],
        returning: &[SelectItem],
    ) -> Result<Outcome, SqlError> {
        let mut outcome = Outcome::tag(&format!("{command} {}", rows.len()));
        if returning.is_empty() {
            return Ok(outcome);
        }
        let columns = &definition.columns;
        for row in rows {
            let scope = Scope { parameters: self.parameters, columns, row: Some(row), group: &[] };
            outcome.rows.push(output_row(returning, scope)?);
        }
        Ok(outcome)
    }

    fn create_table(&mut self, create: &CreateTable) -> Result<Outcome, SqlError> {
        if self.view().definition(&create.table).is_err() {
            let CreateTable { columns, primary_key, .. } = create.clone();
            self.changes.set_table(&create.table, Some(Definition { columns, primary_key }));
        } else if !create.if_not_exists {
            let message = format!("relation {:?} already exists", create.table);
            return Err(SqlError::new("42P07", message));
        }
        Ok(Outcome::tag("CREATE TABLE"))
    }

    fn drop_table(&mut self, table: &str, if_exists: bool) -> Result<Outcome, SqlError> {
        match self.view().definition(table) {
            Ok(_) => self.changes.set_table(table, None),
            Err(_) if if_exists => {}
            Err(error) => return Err(error),
        }
        Ok(Outcome::tag("DROP TABLE"))
    }
}
