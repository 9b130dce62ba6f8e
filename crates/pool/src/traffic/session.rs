//! Callers' sessions.

use std::collections::VecDeque;

use bytes::Bytes;
use flamingorock_core::{Position, TransactionStatus};

use super::database::Database;
use super::request::Request;
use super::{PreparedId, Query, Statement};
use crate::ConnectionKey;

/// Transaction state of a session.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Transaction {
    /// No transaction is open.
    None,
    /// The caller began a transaction that has not been opened at an instance. It is assigned a
    /// connection with its first statement, so that a pause after `BEGIN` occupies none.
    Begun { id: Bytes, text: Bytes, read_only: bool },
    /// The transaction is open at an instance.
    Open { connection: ConnectionKey, read_only: bool, has_written: bool },
    /// The transaction was rolled back, by the proxy or by the loss of its connection, and the
    /// caller has not been told yet.
    Aborted,
    /// The transaction failed and was rolled back; the caller has yet to end it.
    Failed,
}

/// State of a caller's session.
#[derive(Debug)]
pub struct Session {
    pub database: Bytes,
    /// Whether the caller has been told that the session is established.
    pub is_accepted: bool,
    /// Session variables, sorted.
    pub variables: Vec<(Bytes, Bytes)>,
    /// Prepared statements by the names that the caller gave them.
    pub prepared: Vec<(Bytes, PreparedId)>,
    /// Log position that covers the session's own commits.
    pub commit_position: Option<Position>,
    /// Time of the session's last commit.
    pub commit_us: u64,
    pub transaction: Transaction,
    /// Routing parameters of the last request. An open transaction keeps them; a new configuration
    /// applies from the next transaction on.
    pub bound_database: Option<Database>,
    pub request: Option<Request>,
    /// Pipelined statements, which wait for the current one to finish.
    pub backlog: VecDeque<Query>,
    /// Time at which an idle open transaction is rolled back, or the start of a session that is
    /// still pending is refused.
    pub idle_deadline_us: Option<u64>,
}

impl Session {
    pub fn new() -> Self {
        Self {
            database: Bytes::new(),
            is_accepted: false,
            variables: Vec::new(),
            prepared: Vec::new(),
            commit_position: None,
            commit_us: 0,
            transaction: Transaction::None,
            bound_database: None,
            request: None,
            backlog: VecDeque::new(),
            idle_deadline_us: None,
        }
    }

    /// Transaction status reported to the caller.
    pub fn status(&self) -> TransactionStatus {
        match self.transaction {
            Transaction::None => TransactionStatus::Idle,
            Transaction::Begun { .. } | Transaction::Open { .. } | Transaction::Aborted => {
                TransactionStatus::Open
            }
            Transaction::Failed => TransactionStatus::Failed,
        }
    }

    /// Whether the current statement ends the transaction.
    pub fn ends_transaction(&self) -> bool {
        self.request.as_ref().is_some_and(|request| {
            matches!(request.query.statement, Statement::Commit | Statement::Rollback)
        })
    }

    /// Updates the session after its transaction was rolled back: none is open if the current
    /// statement ends it, otherwise it is failed. The caller learns of the rollback from the reply
    /// to that statement.
    pub fn mark_rolled_back(&mut self) {
        if self.transaction != Transaction::None {
            let ends = self.ends_transaction();
            self.transaction = if ends { Transaction::None } else { Transaction::Failed };
        }
    }

    /// Returns the id of a prepared statement by the name that this session gave it.
    pub fn prepared_id(&self, name: &Bytes) -> Option<PreparedId> {
        self.prepared.iter().find(|(existing, _)| existing == name).map(|(_, id)| *id)
    }

    /// Returns the connection that the open transaction is pinned to.
    pub fn pinned_connection(&self) -> Option<ConnectionKey> {
        match self.transaction {
            Transaction::Open { connection, .. } => Some(connection),
            _ => None,
        }
    }
}
