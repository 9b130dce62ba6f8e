//! Parser for transaction control, settings and table definitions.

use crate::database::error::SqlError;
use crate::database::value::Type;

use super::ast::{Column, CreateTable, Statement};
use super::lexer::Token;
use super::parser::Parser;

impl Parser {
    pub(super) fn statement(&mut self) -> Result<Statement, SqlError> {
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
                self.advance();
            } else if !self.accept_symbol(",") {
                return Statement::Begin { read_only };
            }
        }
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
