//! Evaluation of expressions.

use std::cmp::Ordering;

use super::error::SqlError;
use super::sql::{Aggregate, Column, Expression, Operator};
use super::value::{Row, Type, Value};

/// What the names in an expression stand for.
#[derive(Clone, Copy, Default)]
pub(crate) struct Scope<'a> {
    pub(crate) parameters: &'a [Value],
    pub(crate) columns: &'a [Column],
    pub(crate) row: Option<&'a Row>,
    /// Rows that aggregates run over.
    pub(crate) group: &'a [&'a Row],
}

impl Scope<'_> {
    pub(crate) fn evaluate(self, expression: &Expression) -> Result<Value, SqlError> {
        match expression {
            Expression::Literal(value) => Ok(value.clone()),
            Expression::Parameter(index) => {
                let missing = || SqlError::new("42P02", format!("no parameter ${}", index + 1));
                self.parameters.get(*index).cloned().ok_or_else(missing)
            }
            Expression::Column(name) => self.column(name),
            Expression::Binary(operator, left, right) => self.binary(*operator, left, right),
            Expression::Not(inner) => match self.evaluate(inner)?.cast(Type::Bool)? {
                Value::Bool(value) => Ok(Value::Bool(!value)),
                _ => Ok(Value::Null),
            },
            Expression::IsNull(inner) => Ok(Value::Bool(self.evaluate(inner)? == Value::Null)),
            Expression::Cast(inner, ty) => self.evaluate(inner)?.cast(*ty),
            Expression::Call(name, arguments) if name == "coalesce" => {
                for argument in arguments {
                    let value = self.evaluate(argument)?;
                    if value != Value::Null {
                        return Ok(value);
                    }
                }
                Ok(Value::Null)
            }
            Expression::Call(name, _) => Err(unknown_function(name)),
            Expression::Aggregate(kind, argument) => self.aggregate(*kind, argument.as_deref()),
        }
    }

    /// Whether a row satisfies a condition; null counts as no.
    pub(crate) fn accepts(self, filter: Option<&Expression>) -> Result<bool, SqlError> {
        let Some(filter) = filter else { return Ok(true) };
        Ok(self.evaluate(filter)?.cast(Type::Bool)? == Value::Bool(true))
    }

    fn column(self, name: &str) -> Result<Value, SqlError> {
        let position = self.columns.iter().position(|column| column.name == name);
        let missing = || SqlError::new("42703", format!("column {name:?} does not exist"));
        let position = position.ok_or_else(missing)?;
        let grouping = || SqlError::new("42803", format!("column {name:?} is not aggregated"));
        self.row.map(|row| row[position].clone()).ok_or_else(grouping)
    }

    fn binary(
        self,
        operator: Operator,
        left: &Expression,
        right: &Expression,
    ) -> Result<Value, SqlError> {
        let left = self.evaluate(left)?;
        if operator == Operator::And || operator == Operator::Or {
            // The value that decides the result whatever the other side is.
            let decisive = Value::Bool(operator == Operator::Or);
            let left = left.cast(Type::Bool)?;
            if left == decisive {
                return Ok(left);
            }
            let right = self.evaluate(right)?.cast(Type::Bool)?;
            return Ok(if right == decisive || left != Value::Null { right } else { left });
        }
        let (left, right) = unify(left, self.evaluate(right)?)?;
        if left == Value::Null || right == Value::Null {
            return Ok(Value::Null);
        }
        if operator.is_arithmetic() {
            return arithmetic(operator, left, right);
        }
        Ok(Value::Bool(holds(operator, left.cmp(&right))))
    }

    fn aggregate(self, kind: Aggregate, argument: Option<&Expression>) -> Result<Value, SqlError> {
        let Some(argument) = argument else { return Ok(count(self.group.len())) };
        let mut values = Vec::new();
        for &row in self.group {
            values.push(Scope { row: Some(row), group: &[], ..self }.evaluate(argument)?);
        }
        values.retain(|value| *value != Value::Null);
        match kind {
            Aggregate::Count => Ok(count(values.len())),
            Aggregate::Min => Ok(values.into_iter().min().unwrap_or(Value::Null)),
            Aggregate::Max => Ok(values.into_iter().max().unwrap_or(Value::Null)),
            Aggregate::Sum => {
                let mut values = values.into_iter();
                let Some(first) = values.next() else { return Ok(Value::Null) };
                values.try_fold(first, |sum, value| arithmetic(Operator::Add, sum, value))
            }
        }
    }
}

pub(crate) fn unknown_function(name: &str) -> SqlError {
    SqlError::new("42883", format!("function {name} does not exist"))
}

fn count(length: usize) -> Value {
    Value::Int(i64::try_from(length).unwrap_or(i64::MAX))
}

/// Gives a text operand the type of the other one, as PostgreSQL does for untyped literals.
fn unify(left: Value, right: Value) -> Result<(Value, Value), SqlError> {
    Ok(match (&left, &right) {
        (Value::Int(_), Value::Text(_)) => (left, right.cast(Type::Int8)?),
        (Value::Text(_), Value::Int(_)) => (left.cast(Type::Int8)?, right),
        (Value::Bool(_), Value::Text(_)) => (left, right.cast(Type::Bool)?),
        (Value::Text(_), Value::Bool(_)) => (left.cast(Type::Bool)?, right),
        (Value::Int(_), Value::Bool(_)) | (Value::Bool(_), Value::Int(_)) => {
            return Err(SqlError::new("42883", "operator does not exist for these types"));
        }
        _ => (left, right),
    })
}

fn arithmetic(operator: Operator, left: Value, right: Value) -> Result<Value, SqlError> {
    let (Value::Int(left), Value::Int(right)) = (&left, &right) else {
        return Err(SqlError::new("42883", "arithmetic needs integers"));
    };
    let result = match operator {
        Operator::Add => left.checked_add(*right),
        Operator::Subtract => left.checked_sub(*right),
        _ => left.checked_mul(*right),
    };
    result.map(Value::Int).ok_or_else(|| SqlError::new("22003", "integer out of range"))
}

fn holds(operator: Operator, ordering: Ordering) -> bool {
    match operator {
        Operator::Equal => ordering.is_eq(),
        Operator::NotEqual => ordering.is_ne(),
        Operator::Less => ordering.is_lt(),
        Operator::LessOrEqual => ordering.is_le(),
        Operator::Greater => ordering.is_gt(),
        _ => ordering.is_ge(),
    }
}
