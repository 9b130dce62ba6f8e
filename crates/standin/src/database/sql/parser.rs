//! Recursive descent parser for statements.

use crate::database::error::SqlError;
use crate::database::value::Type;

use super::ast::{Column, CreateTable, Expression, Filter, Items, Select, SelectItem};
use super::ast::{Source, Statement};
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
    fn parenthesised<T>(
        &mut self,
        item: impl FnMut(&mut Self) -> Result<T, SqlError>,
    ) -> Result<Vec<T>, SqlError> {
        self.expect_symbol("(")?;
        let items = self.list(item)?;
        self.expect_symbol(")")?;
        Ok(items)
    }

    fn statement(&mut self) -> Result<Statement, SqlError> {
        match self.word()?.as_str() {
            "select" => self.select().map(Statement::Select),
            "insert" => self.insert(),
            "update" => self.update(),
            "delete" => self.delete(),
            "create" => self.create_table(),
            "drop" => self.drop_table(),
            "set" => self.set(),
            "show" => self.setting_name().map(Statement::Show),
            "discard" => self.expect("all").map(|()| Statement::DiscardAll),
            "deallocate" => {
                self.accept("prepare");
                let name = self.word()?;
                Ok(Statement::Deallocate((name != "all").then_some(name)))
            }
            word => self.transaction_control(word),
        }
    }

    fn transaction_control(&mut self, word: &str) -> Result<Statement, SqlError> {
        match word {
            "begin" => Ok(self.begin()),
            "start" => self.expect("transaction").map(|()| self.begin()),
            "commit" | "end" => {
                self.transaction_noise();
                Ok(Statement::Commit)
            }
            "savepoint" => self.word().map(Statement::Savepoint),
            "release" => {
                self.accept("savepoint");
                self.word().map(Statement::Release)
            }
            "rollback" | "abort" => {
                self.transaction_noise();
                if !self.accept("to") {
                    return Ok(Statement::Rollback);
                }
                self.accept("savepoint");
                self.word().map(Statement::RollbackTo)
            }
            _ => {
                self.step_back();
                Err(self.unexpected())
            }
        }
    }

    fn transaction_noise(&mut self) {
        let _ = self.accept("transaction") || self.accept("work");
    }

    /// Reads the transaction modes. Isolation levels are accepted and have no effect.
    fn begin(&mut self) -> Statement {
        self.transaction_noise();
        let mut read_only = false;
        loop {
            if self.accept("read only") {
                read_only = true;
            } else if matches!(self.peek(), Some(Token::Word(_))) {
                self.next += 1;
            } else if !self.accept_symbol(",") {
                return Statement::Begin { read_only };
            }
        }
    }

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

    fn insert(&mut self) -> Result<Statement, SqlError> {
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

    fn update(&mut self) -> Result<Statement, SqlError> {
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

    fn delete(&mut self) -> Result<Statement, SqlError> {
        self.expect("from")?;
        let table = self.word()?;
        let filter = self.filter()?;
        Ok(Statement::Delete { table, filter, returning: self.returning()? })
    }

    fn create_table(&mut self) -> Result<Statement, SqlError> {
        self.expect("table")?;
        let if_not_exists = self.accept("if not exists");
        let table = self.word()?;
        let mut definition =
            CreateTable { table, if_not_exists, columns: Vec::new(), primary_key: Vec::new() };
        self.parenthesised(|parser| parser.table_element(&mut definition))?;
        Ok(Statement::CreateTable(definition))
    }

    fn table_element(&mut self, definition: &mut CreateTable) -> Result<(), SqlError> {
        if self.accept("primary key") {
            for name in self.parenthesised(Self::word)? {
                let position = definition.columns.iter().position(|column| column.name == name);
                let missing = || SqlError::new("42703", format!("no column {name}"));
                definition.primary_key.push(position.ok_or_else(missing)?);
            }
            return Ok(());
        }
        let name = self.word()?;
        let ty = self.type_name()?;
        let mut not_null = false;
        loop {
            if self.accept("primary key") {
                definition.primary_key.push(definition.columns.len());
            } else if self.accept("not null") {
                not_null = true;
            } else if !self.accept("null") {
                definition.columns.push(Column { name, ty, not_null });
                return Ok(());
            }
        }
    }

    pub(super) fn type_name(&mut self) -> Result<Type, SqlError> {
        let name = self.word()?;
        let ty = Type::from_name(&name)
            .ok_or_else(|| SqlError::new("42704", format!("type {name} does not exist")))?;
        if self.accept_symbol("(") {
            self.advance();
            self.expect_symbol(")")?;
        }
        Ok(ty)
    }

    fn drop_table(&mut self) -> Result<Statement, SqlError> {
        self.expect("table")?;
        let if_exists = self.accept("if exists");
        Ok(Statement::DropTable { table: self.word()?, if_exists })
    }

    /// Name of a setting, which may have parts joined by dots.
    fn setting_name(&mut self) -> Result<String, SqlError> {
        let mut name = self.word()?;
        while self.accept_symbol(".") {
            name = format!("{name}.{}", self.word()?);
        }
        Ok(name)
    }

    fn set(&mut self) -> Result<Statement, SqlError> {
        let _ = self.accept("session") || self.accept("local");
        let name = self.setting_name()?;
        if !self.accept_symbol("=") && !self.accept("to") {
            return Err(self.unexpected());
        }
        let values = self.list(|parser| match parser.advance() {
            Some(Token::Word(text) | Token::Number(text) | Token::Text(text)) => Ok(text),
            _ => Err(SqlError::syntax("SET needs a value")),
        })?;
        Ok(Statement::Set { name, value: values.join(", ") })
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
