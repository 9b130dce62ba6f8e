//! Sorting, limits and output columns of queries.

use super::error::SqlError;
use super::evaluate::Scope;
use super::execute::Outcome;
use super::sql::{Column, Expression, Operator, Select, SelectItem};
use super::table::{Definition, Key};
use super::value::{Row, Type, Value};

/// Sorts and limits the rows of a source and computes the output columns.
pub(crate) fn project(
    select: &Select,
    columns: &[Column],
    mut rows: Vec<&Row>,
    parameters: &[Value],
) -> Result<Outcome, SqlError> {
    let scope = Scope { parameters, columns, ..Scope::default() };
    if select.items.iter().any(is_aggregate) {
        let row = output_row(&select.items, Scope { group: &rows, ..scope })?;
        return Ok(Outcome::rows(vec![row]));
    }
    sort(&mut rows, &select.order_by, scope)?;
    if let Some(limit) = &select.limit
        && let Value::Int(limit) = scope.evaluate(limit)?.cast(Type::Int8)?
    {
        rows.truncate(usize::try_from(limit).unwrap_or(0));
    }
    let output =
        rows.iter().map(|row| output_row(&select.items, Scope { row: Some(row), ..scope }));
    output.collect::<Result<_, _>>().map(Outcome::rows)
}

fn is_aggregate(item: &SelectItem) -> bool {
    matches!(item, SelectItem::Expression { expression, .. } if expression.has_aggregate())
}

/// Computes the output columns for one row.
pub(crate) fn output_row(items: &[SelectItem], scope: Scope<'_>) -> Result<Row, SqlError> {
    let mut output = Row::new();
    for item in items {
        match item {
            SelectItem::AllColumns => output.extend(scope.row.into_iter().flatten().cloned()),
            SelectItem::Expression { expression, .. } => output.push(scope.evaluate(expression)?),
        }
    }
    Ok(output)
}

fn sort(
    rows: &mut Vec<&Row>,
    order_by: &[(Expression, bool)],
    scope: Scope<'_>,
) -> Result<(), SqlError> {
    let mut keyed = Vec::new();
    for &row in rows.iter() {
        let keys = order_by.iter().map(|(key, _)| Scope { row: Some(row), ..scope }.evaluate(key));
        keyed.push((keys.collect::<Result<Vec<_>, _>>()?, row));
    }
    keyed.sort_by(|(left, _), (right, _)| {
        let orderings = left.iter().zip(right).zip(order_by).map(|((left, right), (_, down))| {
            if *down { right.cmp(left) } else { left.cmp(right) }
        });
        orderings.fold(std::cmp::Ordering::Equal, std::cmp::Ordering::then)
    });
    *rows = keyed.into_iter().map(|(_, row)| row).collect();
    Ok(())
}

/// Primary key that a condition of the form `a = x AND b = y` fixes.
pub(crate) fn fixed_key(
    definition: &Definition,
    scope: Scope<'_>,
    filter: Option<&Expression>,
) -> Result<Option<Key>, SqlError> {
    let Some(filter) = filter else { return Ok(None) };
    let mut equalities = Vec::new();
    collect_equalities(filter, &mut equalities);
    let mut key = Key::new();
    for &position in &definition.primary_key {
        let column = &definition.columns[position];
        let found = equalities.iter().find(|(name, _)| *name == column.name);
        let Some((_, expression)) = found else { return Ok(None) };
        key.push(scope.evaluate(expression)?.cast(column.ty)?);
    }
    Ok((!key.is_empty()).then_some(key))
}

fn collect_equalities<'a>(filter: &'a Expression, found: &mut Vec<(&'a str, &'a Expression)>) {
    match filter {
        Expression::Binary(Operator::And, left, right) => {
            collect_equalities(left, found);
            collect_equalities(right, found);
        }
        Expression::Binary(Operator::Equal, left, right) => match (&**left, &**right) {
            (
                Expression::Column(name),
                value @ (Expression::Literal(_) | Expression::Parameter(_)),
            )
            | (
                value @ (Expression::Literal(_) | Expression::Parameter(_)),
                Expression::Column(name),
            ) => {
                found.push((name, value));
            }
            _ => {}
        },
        _ => {}
    }
}

/// Positions of the columns that an `INSERT` names; all columns without a list.
pub(crate) fn target_columns(
    definition: &Definition,
    names: &[String],
) -> Result<Vec<usize>, SqlError> {
    if names.is_empty() {
        return Ok((0..definition.columns.len()).collect());
    }
    names.iter().map(|name| definition.column(name)).collect()
}

/// Converts a new row to the types of its columns and checks that required values are present.
pub(crate) fn checked(definition: &Definition, row: Row) -> Result<Row, SqlError> {
    let mut checked = Row::new();
    for (position, (value, column)) in row.into_iter().zip(&definition.columns).enumerate() {
        let required = column.not_null || definition.primary_key.contains(&position);
        if required && value == Value::Null {
            let message = format!("null value in column {:?}", column.name);
            return Err(SqlError::new("23502", message));
        }
        checked.push(value.cast(column.ty)?);
    }
    Ok(checked)
}
