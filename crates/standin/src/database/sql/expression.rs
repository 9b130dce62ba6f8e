//! Parser for expressions, by precedence climbing.

use crate::database::error::SqlError;
use crate::database::value::Value;

use super::ast::{Aggregate, Expression, Operator};
use super::lexer::Token;
use super::parser::Parser;

/// Largest number of nodes in one expression. It bounds the recursion of parser and evaluation, so
/// that hostile input cannot exhaust the stack of a connection thread.
const EXPRESSION_NODES_LIMIT: usize = 200;

impl Parser {
    /// Parses an expression that is not part of another.
    pub(super) fn expression(&mut self) -> Result<Expression, SqlError> {
        self.expression_nodes = 0;
        self.nested_expression()
    }

    pub(super) fn nested_expression(&mut self) -> Result<Expression, SqlError> {
        self.binary(1)
    }

    fn count_node(&mut self) -> Result<(), SqlError> {
        self.expression_nodes += 1;
        if self.expression_nodes > EXPRESSION_NODES_LIMIT {
            return Err(SqlError::new("54001", "expression is too complex"));
        }
        Ok(())
    }

    fn binary(&mut self, precedence: u8) -> Result<Expression, SqlError> {
        let mut left = self.unary()?;
        while let Some(operator) = self.peek().and_then(operator)
            && operator.precedence() >= precedence
        {
            self.advance();
            self.count_node()?;
            let right = self.binary(operator.precedence() + 1)?;
            left = Expression::Binary(operator, Box::new(left), Box::new(right));
        }
        Ok(left)
    }

    fn unary(&mut self) -> Result<Expression, SqlError> {
        self.count_node()?;
        if self.accept("not") {
            return Ok(Expression::Not(Box::new(self.binary(3)?)));
        }
        if self.accept_symbol("-") {
            let zero = Box::new(Expression::Literal(Value::Int(0)));
            let operand = Box::new(self.unary()?);
            return Ok(Expression::Binary(Operator::Subtract, zero, operand));
        }
        let mut expression = self.primary()?;
        loop {
            if self.accept_symbol("::") {
                self.count_node()?;
                expression = Expression::Cast(Box::new(expression), self.type_name()?);
            } else if self.accept("is not null") {
                self.count_node()?;
                let is_null = Expression::IsNull(Box::new(expression));
                expression = Expression::Not(Box::new(is_null));
            } else if self.accept("is null") {
                self.count_node()?;
                expression = Expression::IsNull(Box::new(expression));
            } else {
                return Ok(expression);
            }
        }
    }

    fn primary(&mut self) -> Result<Expression, SqlError> {
        match self.advance() {
            Some(Token::Number(digits)) => Ok(Expression::Literal(number(digits)?)),
            Some(Token::Text(text)) => Ok(Expression::Literal(Value::Text(text))),
            Some(Token::Parameter(number)) => Ok(Expression::Parameter(number - 1)),
            Some(Token::Symbol("(")) => {
                let inner = self.nested_expression()?;
                self.expect_symbol(")")?;
                Ok(inner)
            }
            Some(Token::Word(word)) => self.word_expression(word),
            _ => {
                self.step_back();
                Err(self.unexpected())
            }
        }
    }

    fn word_expression(&mut self, word: String) -> Result<Expression, SqlError> {
        match word.as_str() {
            "null" => return Ok(Expression::Literal(Value::Null)),
            "true" => return Ok(Expression::Literal(Value::Bool(true))),
            "false" => return Ok(Expression::Literal(Value::Bool(false))),
            "from" | "where" | "order" | "limit" | "select" | "values" | "set" => {
                return Err(SqlError::syntax(format!("syntax error at {word}")));
            }
            _ => {}
        }
        if !self.accept_symbol("(") {
            // A qualified name: a statement has one table at most, so its qualifier is not needed.
            let name = if self.accept_symbol(".") { self.word()? } else { word };
            return Ok(Expression::Column(name));
        }
        let aggregate = match word.as_str() {
            "count" => Aggregate::Count,
            "sum" => Aggregate::Sum,
            "min" => Aggregate::Min,
            "max" => Aggregate::Max,
            _ => return self.arguments().map(|arguments| Expression::Call(word, arguments)),
        };
        let argument = if aggregate == Aggregate::Count && self.accept_symbol("*") {
            None
        } else {
            Some(Box::new(self.nested_expression()?))
        };
        self.expect_symbol(")")?;
        Ok(Expression::Aggregate(aggregate, argument))
    }
}

/// Reads a number. A number with a fraction is kept as text: only `pg_sleep` uses it.
fn number(digits: String) -> Result<Value, SqlError> {
    if digits.contains('.') {
        return Ok(Value::Text(digits));
    }
    let out_of_range = |_| SqlError::new("22003", "integer out of range");
    digits.parse().map(Value::Int).map_err(out_of_range)
}

fn operator(token: &Token) -> Option<Operator> {
    Some(match token {
        Token::Symbol("=") => Operator::Equal,
        Token::Symbol("<>" | "!=") => Operator::NotEqual,
        Token::Symbol("<") => Operator::Less,
        Token::Symbol("<=") => Operator::LessOrEqual,
        Token::Symbol(">") => Operator::Greater,
        Token::Symbol(">=") => Operator::GreaterOrEqual,
        Token::Symbol("+") => Operator::Add,
        Token::Symbol("-") => Operator::Subtract,
        Token::Symbol("*") => Operator::Multiply,
        Token::Word(word) if word == "and" => Operator::And,
        Token::Word(word) if word == "or" => Operator::Or,
        _ => return None,
    })
}
