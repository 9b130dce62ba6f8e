//! Types of the parameters and result columns of a statement, so that clients need no catalog.

use super::error::SqlError;
use super::evaluate::unknown_function;
use super::group::STATUS_COLUMNS;
use super::project::target_columns;
use super::sql::{Aggregate, Column, Expression, Operator, Select, SelectItem, Source, Statement};
use super::table::View;
use super::value::{Type, Value};

/// Name and type of a result column.
pub(crate) type ResultColumn = (String, Type);

#[derive(Clone, Debug, Default)]
pub(crate) struct Description {
    pub(crate) parameters: Vec<Type>,
    /// Empty for a statement without result rows.
    pub(crate) columns: Vec<ResultColumn>,
}

/// Describes a statement. `declared` holds the types that the client gave for the first parameters;
/// 0 leaves a type open.
pub(crate) fn describe(
    statement: &Statement,
    declared: &[u32],
    view: View<'_>,
) -> Result<Description, SqlError> {
    let mut context = Context { columns: Vec::new(), parameters: Vec::new() };
    for (index, oid) in declared.iter().enumerate().filter(|(_, oid)| **oid != 0) {
        context.parameter(index, Some(Type::from_oid(*oid)));
    }
    let columns = context.statement(statement, view)?;
    let parameters = context.parameters.iter().map(|ty| ty.unwrap_or(Type::Text)).collect();
    Ok(Description { parameters, columns })
}

struct Context {
    columns: Vec<Column>,
    parameters: Vec<Option<Type>>,
}

impl Context {
    fn statement(
        &mut self,
        statement: &Statement,
        view: View<'_>,
    ) -> Result<Vec<ResultColumn>, SqlError> {
        match statement {
            Statement::Select(select) => self.select(select, view),
            Statement::Insert { table, columns, rows, returning } => {
                let definition = view.definition(table)?;
                self.columns = definition.columns.clone();
                let targets = target_columns(definition, columns)?;
                for row in rows {
                    for (position, expression) in targets.iter().zip(row) {
                        self.expression(expression, Some(definition.columns[*position].ty))?;
                    }
                }
                self.items(returning)
            }
            Statement::Update { table, set, filter, returning } => {
                let definition = view.definition(table)?;
                self.columns = definition.columns.clone();
                for (name, expression) in set {
                    let ty = definition.columns[definition.column(name)?].ty;
                    self.expression(expression, Some(ty))?;
                }
                self.optional(filter.as_ref(), Type::Bool)?;
                self.items(returning)
            }
            Statement::Delete { table, filter, returning } => {
                self.columns = view.definition(table)?.columns.clone();
                self.optional(filter.as_ref(), Type::Bool)?;
                self.items(returning)
            }
            Statement::Show(name) => Ok(vec![(name.clone(), Type::Text)]),
            _ => Ok(Vec::new()),
        }
    }

    fn select(&mut self, select: &Select, view: View<'_>) -> Result<Vec<ResultColumn>, SqlError> {
        match &select.from {
            Some(Source::Table(table)) => self.columns = view.definition(table)?.columns.clone(),
            Some(Source::Function { name, arguments }) => {
                self.call(name, arguments)?;
                let text = |name: &&str| Column {
                    name: (*name).to_owned(),
                    ty: Type::Text,
                    not_null: false,
                };
                self.columns = STATUS_COLUMNS.iter().map(text).collect();
            }
            None => {}
        }
        self.optional(select.filter.as_ref(), Type::Bool)?;
        for (expression, _) in &select.order_by {
            self.expression(expression, None)?;
        }
        self.optional(select.limit.as_ref(), Type::Int8)?;
        self.items(&select.items)
    }

    fn items(&mut self, items: &[SelectItem]) -> Result<Vec<ResultColumn>, SqlError> {
        let mut columns = Vec::new();
        for item in items {
            match item {
                SelectItem::AllColumns => {
                    columns.extend(self.columns.iter().map(|c| (c.name.clone(), c.ty)));
                }
                SelectItem::Expression { expression, name } => {
                    let ty = self.expression(expression, None)?.unwrap_or(Type::Text);
                    columns.push((name.clone(), ty));
                }
            }
        }
        Ok(columns)
    }

    fn optional(&mut self, expression: Option<&Expression>, ty: Type) -> Result<(), SqlError> {
        expression.map_or(Ok(()), |expression| self.expression(expression, Some(ty)).map(drop))
    }

    /// Type of a parameter, which takes the expected type unless it has one already.
    fn parameter(&mut self, index: usize, expected: Option<Type>) -> Option<Type> {
        if self.parameters.len() <= index {
            self.parameters.resize(index + 1, None);
        }
        self.parameters[index] = self.parameters[index].or(expected);
        self.parameters[index]
    }

    /// Type of an expression; `expected` is the type that its surroundings ask for, if any. A
    /// parameter takes the expected type.
    fn expression(
        &mut self,
        expression: &Expression,
        expected: Option<Type>,
    ) -> Result<Option<Type>, SqlError> {
        Ok(match expression {
            Expression::Literal(Value::Int(number)) => {
                Some(if i32::try_from(*number).is_ok() { Type::Int4 } else { Type::Int8 })
            }
            Expression::Literal(Value::Bool(_)) => Some(Type::Bool),
            Expression::Literal(_) => expected,
            Expression::Parameter(index) => self.parameter(*index, expected),
            Expression::Column(name) => {
                let missing = || SqlError::new("42703", format!("column {name:?} does not exist"));
                let column = self.columns.iter().find(|column| column.name == *name);
                Some(column.ok_or_else(missing)?.ty)
            }
            Expression::Binary(operator, left, right) => self.binary(*operator, left, right)?,
            Expression::Not(inner) => {
                self.expression(inner, Some(Type::Bool))?;
                Some(Type::Bool)
            }
            Expression::IsNull(inner) => {
                self.expression(inner, None)?;
                Some(Type::Bool)
            }
            Expression::Cast(inner, ty) => {
                self.expression(inner, Some(*ty))?;
                Some(*ty)
            }
            Expression::Call(name, arguments) => self.call(name, arguments)?,
            Expression::Aggregate(kind, argument) => {
                let argument = argument.as_ref().map(|inner| self.expression(inner, None));
                let ty = argument.transpose()?.flatten();
                match kind {
                    Aggregate::Min | Aggregate::Max => ty,
                    Aggregate::Count | Aggregate::Sum => Some(Type::Int8),
                }
            }
        })
    }

    fn binary(
        &mut self,
        operator: Operator,
        left: &Expression,
        right: &Expression,
    ) -> Result<Option<Type>, SqlError> {
        if matches!(operator, Operator::And | Operator::Or) {
            self.expression(left, Some(Type::Bool))?;
            self.expression(right, Some(Type::Bool))?;
            return Ok(Some(Type::Bool));
        }
        // Each side takes its type from the other one, as an untyped parameter in PostgreSQL does.
        let fallback = operator.is_arithmetic().then_some(Type::Int8);
        let left_type = self.expression(left, None)?;
        let right_type = self.expression(right, left_type.or(fallback))?;
        if let Expression::Parameter(_) = left {
            self.expression(left, right_type)?;
        }
        let widest = if right_type == Some(Type::Int8) { right_type } else { left_type };
        Ok(if operator.is_arithmetic() { widest } else { Some(Type::Bool) })
    }

    fn call(&mut self, name: &str, arguments: &[Expression]) -> Result<Option<Type>, SqlError> {
        let (expected, result): (&[Type], _) = match name {
            "flamingorock_status" => (&[], Type::Text),
            "flamingorock_accept_term" | "flamingorock_promote" => (&[Type::Int8], Type::Text),
            "flamingorock_follow" => (&[Type::Int8, Type::Text], Type::Text),
            "standin_fault" => (&[Type::Text, Type::Int8], Type::Text),
            "pg_sleep" => (&[Type::Float8], Type::Void),
            "coalesce" => {
                let mut ty = None;
                for argument in arguments {
                    ty = ty.or(self.expression(argument, ty)?);
                }
                return Ok(ty);
            }
            _ => return Err(unknown_function(name)),
        };
        if expected.len() != arguments.len() {
            let message = format!("function {name} takes {} arguments", expected.len());
            return Err(SqlError::new("42883", message));
        }
        for (argument, ty) in arguments.iter().zip(expected) {
            self.expression(argument, Some(*ty))?;
        }
        Ok(Some(result))
    }
}
