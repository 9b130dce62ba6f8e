//! Parser for the SQL subset of the database stand-in.

mod ast;
mod expression;
mod lexer;
mod parser;
mod query;
mod statement;

pub(crate) use ast::{
    Aggregate, Column, CreateTable, Expression, Operator, Select, SelectItem, Source, Statement,
};
pub(crate) use parser::parse;
