//! Parser for `SELECT`, `INSERT`, `UPDATE` and `DELETE`.

use crate::database::error::SqlError;

use super::ast::{Expression, Filter, Items, Select, SelectItem, Source, Statement};
use super::parser::Parser;

impl Parser {
    pub(super) fn select(&mut self) -> Result<Select, SqlError> {
        let items = self.list(Self::select_item)?;
        let from = if self.accept("from") { Some(self.source()?) } else { None };
        let filter = self.filter()?;
        let mut order_by = Vec::new();
        if self.accept("order by") {
            order_by = self.list(|parser| {
                let expression = parser.expression()?;
                let descending = parser.accept("desc");
                parser.accept("asc");
                Ok((expression, descending))
            })?;
        }
        let limit = if self.accept("limit") { Some(self.expression()?) } else { None };
        let for_update = self.accept("for update");
        Ok(Select { items, from, filter, order_by, limit, for_update })
    }

    fn source(&mut self) -> Result<Source, SqlError> {
        let name = self.word()?;
        if !self.accept_symbol("(") {
            return Ok(Source::Table(name));
        }
        let arguments = self.arguments()?;
        Ok(Source::Function { name, arguments })
    }

    /// Parses the arguments of a call after the opening parenthesis.
    pub(super) fn arguments(&mut self) -> Result<Vec<Expression>, SqlError> {
        if self.accept_symbol(")") {
            return Ok(Vec::new());
        }
        let arguments = self.list(Self::nested_expression)?;
        self.expect_symbol(")")?;
        Ok(arguments)
    }

    fn select_item(&mut self) -> Result<SelectItem, SqlError> {
        if self.accept_symbol("*") {
            return Ok(SelectItem::AllColumns);
        }
        let expression = self.expression()?;
        let name = if self.accept("as") { self.word()? } else { default_name(&expression) };
        Ok(SelectItem::Expression { expression, name })
    }

    fn filter(&mut self) -> Result<Filter, SqlError> {
        if self.accept("where") { self.expression().map(Some) } else { Ok(None) }
    }

    fn returning(&mut self) -> Result<Items, SqlError> {
        if self.accept("returning") { self.list(Self::select_item) } else { Ok(Vec::new()) }
    }

    pub(super) fn insert(&mut self) -> Result<Statement, SqlError> {
        self.expect("into")?;
        let table = self.word()?;
        let mut columns = Vec::new();
        if !self.accept("values") {
            columns = self.parenthesised(Self::word)?;
            self.expect("values")?;
        }
        let rows = self.list(|parser| parser.parenthesised(Self::expression))?;
        Ok(Statement::Insert { table, columns, rows, returning: self.returning()? })
    }

    pub(super) fn update(&mut self) -> Result<Statement, SqlError> {
        let table = self.word()?;
        self.expect("set")?;
        let set = self.list(|parser| {
            let column = parser.word()?;
            parser.expect_symbol("=")?;
            Ok((column, parser.expression()?))
        })?;
        let filter = self.filter()?;
        Ok(Statement::Update { table, set, filter, returning: self.returning()? })
    }

    pub(super) fn delete(&mut self) -> Result<Statement, SqlError> {
        self.expect("from")?;
        let table = self.word()?;
        let filter = self.filter()?;
        Ok(Statement::Delete { table, filter, returning: self.returning()? })
    }
}

/// Name of a result column without `AS`.
fn default_name(expression: &Expression) -> String {
    match expression {
        Expression::Column(name) | Expression::Call(name, _) => name.clone(),
        Expression::Aggregate(kind, _) => format!("{kind:?}").to_lowercase(),
        Expression::Cast(inner, _) => default_name(inner),
        _ => "?column?".to_owned(),
    }
}
