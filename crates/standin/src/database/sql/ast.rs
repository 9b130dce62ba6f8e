//! Syntax tree of the SQL subset.

use serde::{Deserialize, Serialize};

use crate::database::value::{Type, Value};

#[derive(Clone, Debug)]
pub(crate) enum Statement {
    Select(Select),
    Insert { table: String, columns: Vec<String>, rows: Vec<Vec<Expression>>, returning: Items },
    Update { table: String, set: Vec<(String, Expression)>, filter: Filter, returning: Items },
    Delete { table: String, filter: Filter, returning: Items },
    CreateTable(CreateTable),
    DropTable { table: String, if_exists: bool },
    Begin { read_only: bool },
    Commit,
    Rollback,
    Savepoint(String),
    RollbackTo(String),
    Release(String),
    Set { name: String, value: String },
    Show(String),
    DiscardAll,
    Deallocate(Option<String>),
}

/// Expressions of a `RETURNING` clause; empty without one.
pub(crate) type Items = Vec<SelectItem>;

/// Condition of a `WHERE` clause.
pub(crate) type Filter = Option<Expression>;

#[derive(Clone, Debug)]
pub(crate) struct Select {
    pub(crate) items: Items,
    pub(crate) from: Option<Source>,
    pub(crate) filter: Filter,
    /// Expressions to sort by, and whether in descending order.
    pub(crate) order_by: Vec<(Expression, bool)>,
    pub(crate) limit: Option<Expression>,
    pub(crate) for_update: bool,
}

#[derive(Clone, Debug)]
pub(crate) enum SelectItem {
    AllColumns,
    Expression { expression: Expression, name: String },
}

#[derive(Clone, Debug)]
pub(crate) enum Source {
    Table(String),
    Function { name: String, arguments: Vec<Expression> },
}

#[derive(Clone, Debug)]
pub(crate) struct CreateTable {
    pub(crate) table: String,
    pub(crate) if_not_exists: bool,
    pub(crate) columns: Vec<Column>,
    /// Positions of the columns of the primary key; empty without one.
    pub(crate) primary_key: Vec<usize>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Column {
    pub(crate) name: String,
    pub(crate) ty: Type,
    pub(crate) not_null: bool,
}

#[derive(Clone, Debug)]
pub(crate) enum Expression {
    Literal(Value),
    /// Parameter, counted from 0.
    Parameter(usize),
    Column(String),
    Binary(Operator, Box<Expression>, Box<Expression>),
    Not(Box<Expression>),
    IsNull(Box<Expression>),
    Cast(Box<Expression>, Type),
    Call(String, Vec<Expression>),
    /// `None` as argument stands for `count(*)`.
    Aggregate(Aggregate, Option<Box<Expression>>),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Aggregate {
    Count,
    Sum,
    Min,
    Max,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Operator {
    Or,
    And,
    Equal,
    NotEqual,
    Less,
    LessOrEqual,
    Greater,
    GreaterOrEqual,
    Add,
    Subtract,
    Multiply,
}

impl Operator {
    /// Binding strength; a higher number binds tighter.
    pub(crate) fn precedence(self) -> u8 {
        match self {
            Self::Or => 1,
            Self::And => 2,
            Self::Add | Self::Subtract => 5,
            Self::Multiply => 6,
            _ => 4,
        }
    }

    pub(crate) fn is_arithmetic(self) -> bool {
        self.precedence() >= 5
    }
}

impl Expression {
    /// Calls `visit` for this expression and all parts of it.
    pub(crate) fn walk(&self, visit: &mut impl FnMut(&Self)) {
        visit(self);
        match self {
            Self::Binary(_, left, right) => {
                left.walk(visit);
                right.walk(visit);
            }
            Self::Not(inner)
            | Self::IsNull(inner)
            | Self::Cast(inner, _)
            | Self::Aggregate(_, Some(inner)) => inner.walk(visit),
            Self::Call(_, arguments) => arguments.iter().for_each(|part| part.walk(visit)),
            _ => {}
        }
    }

    pub(crate) fn has_aggregate(&self) -> bool {
        let mut found = false;
        self.walk(&mut |part| found |= matches!(part, Self::Aggregate(..)));
        found
    }
}

impl Statement {
    /// Whether the statement needs the write lock of a primary.
    pub(crate) fn is_write(&self) -> bool {
        match self {
            Self::Select(select) => select.for_update,
            Self::Insert { .. }
            | Self::Update { .. }
            | Self::Delete { .. }
            | Self::CreateTable(_)
            | Self::DropTable { .. } => true,
            _ => false,
        }
    }
}
