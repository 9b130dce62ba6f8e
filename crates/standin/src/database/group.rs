//! Terms and roles: the four `flamingorock_*` functions.

use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;
use std::time::Instant;

use super::error::SqlError;
use super::evaluate::unknown_function;
use super::instance::State;
use super::storage::Entry;
use super::table::Changes;
use super::value::{Row, Value};

/// Columns of the row that each function returns.
pub(crate) const STATUS_COLUMNS: [&str; 6] =
    ["accepted_term", "log_term", "lsn", "role", "primary_heard_ms", "ok"];

impl State {
    /// Runs a function of the group protocol and returns its row.
    pub(crate) fn call(&mut self, name: &str, arguments: &[Value]) -> Result<Row, SqlError> {
        let accepted = match (name, arguments) {
            ("flamingorock_status", []) => true,
            ("flamingorock_accept_term", [term]) => self.accept_term(parse_term(term)?),
            ("flamingorock_promote", [term]) => self.promote(parse_term(term)?),
            ("flamingorock_follow", [term, address]) => {
                self.follow(parse_term(term)?, parse_address(address)?)
            }
            _ => return Err(unknown_function(name)),
        };
        Ok(self.status_row(accepted))
    }

    fn status_row(&self, accepted: bool) -> Row {
        let is_primary = self.primary_term.is_some();
        let heard_at = self.primary_heard_at.filter(|_| !is_primary);
        let heard = heard_at.map_or("-1".to_owned(), |at| at.elapsed().as_millis().to_string());
        [
            self.storage.accepted_term.to_string(),
            self.storage.log_term().to_string(),
            self.storage.lsn().to_string(),
            if is_primary { "primary" } else { "replica" }.to_owned(),
            heard,
            if accepted { "t" } else { "f" }.to_owned(),
        ]
        .map(Value::Text)
        .to_vec()
    }

    /// Raises the accepted term. Entries that have arrived but are not applied are dropped, since
    /// their primary has a lower term now.
    pub(crate) fn accept_term(&mut self, term: u64) -> bool {
        if term < self.storage.accepted_term {
            return false;
        }
        if term > self.storage.accepted_term {
            self.storage.accepted_term = term;
            self.received.clear();
            self.disconnect_upstream();
        }
        if self.primary_term.is_some_and(|promoted| promoted < term) {
            self.primary_term = None;
        }
        true
    }

    /// Becomes the primary. A repeated call with the same term changes nothing.
    fn promote(&mut self, term: u64) -> bool {
        if !self.accept_term(term) {
            return false;
        }
        if self.primary_term != Some(term) {
            self.set_following(None);
            self.primary_term = Some(term);
            self.storage.append(Arc::new(Entry { term, changes: Changes::default() }));
        }
        true
    }

    /// Becomes a replica of `address`. A repeated call keeps the stream of log entries.
    fn follow(&mut self, term: u64, address: SocketAddr) -> bool {
        if !self.accept_term(term) {
            return false;
        }
        self.primary_term = None;
        if self.following != Some(address) {
            self.set_following(Some(address));
        }
        true
    }

    fn set_following(&mut self, address: Option<SocketAddr>) {
        self.following = address;
        self.received.clear();
        self.primary_heard_at = None;
        self.disconnect_upstream();
    }

    /// Ends the stream of log entries; a replica that still follows an address connects again.
    pub(crate) fn disconnect_upstream(&mut self) {
        self.follow_epoch += 1;
        if let Some(stream) = self.upstream.take() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Takes note of a message from the primary with `term`; refuses it when the term is too low.
    pub(crate) fn hear_primary(&mut self, term: u64) -> bool {
        if term < self.storage.accepted_term {
            return false;
        }
        self.storage.accepted_term = term;
        self.primary_heard_at = Some(Instant::now());
        true
    }
}

fn parse_term(value: &Value) -> Result<u64, SqlError> {
    let error = || SqlError::new("22023", "a term is a number that is not negative");
    value.to_text().parse().map_err(|_| error())
}

fn parse_address(value: &Value) -> Result<SocketAddr, SqlError> {
    let error = |_| SqlError::new("22023", "an address has the form IP:PORT");
    value.to_text().parse().map_err(error)
}
