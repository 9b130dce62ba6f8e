//! Sessions of callers.

use std::collections::VecDeque;

use bytes::Bytes;
use flamingorock_core::{Position, TransactionStatus};

use super::database::Database;
use super::request::Request;
use super::{PreparedId, Query, Statement};
use crate::ConnectionKey;

/// The transaction of a session.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Transaction {
    /// None is open.
    None,
    /// The caller has begun one, but no instance knows it yet. It takes a connection with its first
    /// statement, so that a pause after its begin blocks nothing.
    Begun { id: Bytes, text: Bytes, read_only: bool },
    /// Open at an instance.
    Open { connection: ConnectionKey, read_only: bool, has_written: bool },
    /// Rolled back by this proxy; the caller has not been told yet.
    Aborted,
    /// Failed and rolled back; the caller has not ended it yet.
    Failed,
}

/// A caller's session.
#[derive(Debug)]
pub struct Session {
    pub database: Bytes,
    /// Whether the caller has been told that the session has started.
    pub is_accepted: bool,
    pub variables: Vec<(Bytes, Bytes)>,
    pub prepared: Vec<(Bytes, PreparedId)>,
    /// Position that covers the session's own commits.
    pub commit_position: Option<Position>,
    /// When the token was raised.
    pub commit_us: u64,
    pub transaction: Transaction,
    /// Rule of the open transaction; a new configuration applies from the next one.
    pub bound_database: Option<Database>,
    pub request: Option<Request>,
    /// Statements that arrived while another one was being served.
    pub backlog: VecDeque<Query>,
    /// When the open transaction is rolled back for idleness, or the start refused.
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

    /// Transaction status that the caller is shown.
    pub fn status(&self) -> TransactionStatus {
        match self.transaction {
            Transaction::None => TransactionStatus::Idle,
            Transaction::Begun { .. } | Transaction::Open { .. } | Transaction::Aborted => {
                TransactionStatus::Open
            }
            Transaction::Failed => TransactionStatus::Failed,
        }
    }

    /// Whether the statement that is being served ends the transaction.
    pub fn ends_transaction(&self) -> bool {
        self.request.as_ref().is_some_and(|request| {
            matches!(request.query.statement, Statement::Commit | Statement::Rollback)
        })
    }

    /// Leaves a transaction that has been rolled back: it is over if the present statement ends it,
    /// and failed otherwise. The caller is told with the answer to that statement.
    pub fn mark_rolled_back(&mut self) {
        if self.transaction != Transaction::None {
            let ends = self.ends_transaction();
            self.transaction = if ends { Transaction::None } else { Transaction::Failed };
        }
    }

    /// Number of a prepared statement by its name in this session.
    pub fn prepared_id(&self, name: &Bytes) -> Option<PreparedId> {
        self.prepared.iter().find(|(existing, _)| existing == name).map(|(_, id)| *id)
    }

    /// Connection of the open transaction.
    pub fn pinned_connection(&self) -> Option<ConnectionKey> {
        match self.transaction {
            Transaction::Open { connection, .. } => Some(connection),
            _ => None,
        }
    }
}
