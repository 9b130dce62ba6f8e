//! Steps of the recursive descent parser that all statements share.

use crate::database::error::SqlError;

use super::ast::Statement;
use super::lexer::{Token, tokenize};

/// Parses the statements of a simple query, or the one statement of an extended query.
pub(crate) fn parse(sql: &str) -> Result<Vec<Statement>, SqlError> {
    let mut parser = Parser { tokens: tokenize(sql)?, next: 0, expression_nodes: 0 };
    let mut statements = Vec::new();
    loop {
        while parser.accept_symbol(";") {}
        if parser.next >= parser.tokens.len() {
            return Ok(statements);
        }
        statements.push(parser.statement()?);
        if parser.next < parser.tokens.len() && !parser.accept_symbol(";") {
            return Err(parser.unexpected());
        }
    }
}

pub(super) struct Parser {
    tokens: Vec<Token>,
    next: usize,
    /// Size of the expression that is being parsed.
    pub(super) expression_nodes: usize,
}

impl Parser {
    pub(super) fn peek(&self) -> Option<&Token> {
        self.tokens.get(self.next)
    }

    pub(super) fn advance(&mut self) -> Option<Token> {
        let token = self.peek().cloned();
        self.next += 1;
        token
    }

    pub(super) fn step_back(&mut self) {
        self.next -= 1;
    }

    pub(super) fn unexpected(&self) -> SqlError {
        match self.peek() {
            Some(token) => SqlError::syntax(format!("syntax error at {token:?}")),
            None => SqlError::syntax("syntax error at end of input"),
        }
    }

    pub(super) fn accept_symbol(&mut self, symbol: &str) -> bool {
        let found = matches!(self.peek(), Some(Token::Symbol(found)) if *found == symbol);
        self.next += usize::from(found);
        found
    }

    /// Accepts a sequence of keywords, or nothing.
    pub(super) fn accept(&mut self, words: &str) -> bool {
        let mut rest = self.tokens.iter().skip(self.next);
        let mut words = words.split(' ');
        let count = words.clone().count();
        let found =
            words.all(|word| matches!(rest.next(), Some(Token::Word(next)) if next == word));
        self.next += if found { count } else { 0 };
        found
    }

    pub(super) fn expect_symbol(&mut self, symbol: &str) -> Result<(), SqlError> {
        if self.accept_symbol(symbol) { Ok(()) } else { Err(self.unexpected()) }
    }

    pub(super) fn expect(&mut self, words: &str) -> Result<(), SqlError> {
        if self.accept(words) { Ok(()) } else { Err(self.unexpected()) }
    }

    pub(super) fn word(&mut self) -> Result<String, SqlError> {
        match self.peek().cloned() {
            Some(Token::Word(word)) => {
                self.next += 1;
                Ok(word)
            }
            _ => Err(self.unexpected()),
        }
    }

    /// Parses `item, item, ...`.
    pub(super) fn list<T>(
        &mut self,
        mut item: impl FnMut(&mut Self) -> Result<T, SqlError>,
    ) -> Result<Vec<T>, SqlError> {
        let mut items = vec![item(self)?];
        while self.accept_symbol(",") {
            items.push(item(self)?);
        }
        Ok(items)
    }

    /// Parses `(item, item, ...)`.
    pub(super) fn parenthesised<T>(
        &mut self,
        item: impl FnMut(&mut Self) -> Result<T, SqlError>,
    ) -> Result<Vec<T>, SqlError> {
        self.expect_symbol("(")?;
        let items = self.list(item)?;
        self.expect_symbol(")")?;
        Ok(items)
    }
}
