//! State of a caller's session that lives in the proxy.

use std::sync::Arc;

use flamingorock_core::TransactionStatus;

use super::kept_statements::KeptStatements;
use super::plan::StatementChange;
use super::{LocalStatement, RankList, SessionSettings};

/// State of a caller's session that lives in the proxy.
#[derive(Debug)]
pub(crate) struct Session {
    pub(crate) settings: SessionSettings,
    /// Settings after the startup, to which `RESET` goes back.
    pub(crate) initial: SessionSettings,
    pub(crate) ranks: Arc<RankList>,
    pub(crate) kept: KeptStatements,
    pub(crate) status: TransactionStatus,
}

impl Session {
    pub(crate) fn new() -> Self {
        Self {
            settings: SessionSettings::default(),
            initial: SessionSettings::default(),
            ranks: Arc::default(),
            kept: KeptStatements::default(),
            status: TransactionStatus::Idle,
        }
    }

    /// Carries out a statement that the proxy answers by itself.
    pub(crate) fn run(&mut self, statement: &LocalStatement) {
        self.settings.apply(statement, &self.initial);
        if matches!(statement, LocalStatement::DiscardAll | LocalStatement::DeallocateAll) {
            self.kept.clear();
        }
    }

    /// Keeps or drops a prepared statement.
    pub(crate) fn apply_change(&mut self, change: &StatementChange) {
        match change {
            StatementChange::Keep(name, statement) => self.kept.insert(name, statement.clone()),
            StatementChange::Drop(name) => self.kept.remove(name),
        }
    }
}
