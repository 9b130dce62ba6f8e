//! Classification of the text of a message into what the proxy does with it.

use flamingorock_core::{ResultCode, StatementKind};

use crate::caller::{LocalStatement, RankList};
use crate::refusal::Refusal;
use crate::sql::{
    StatementScan, Token, Tokenizer, local_statement, transaction_kind, unsupported_statement,
};

/// What the proxy does with the text of a message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Classification {
    /// A backend server runs it.
    Routed(StatementKind),
    /// The proxy answers it.
    Local(LocalStatement),
    /// The proxy answers several statements in turn.
    LocalSeveral(Vec<LocalStatement>),
    /// It is refused.
    Refused(Refusal),
}

/// Classifies the text of a simple query or of a statement to be prepared.
///
/// A view, an operator, a cast or a trigger can run functions that the text does not name; what they
/// do is not known here.
#[must_use]
pub fn classify(sql: &[u8], ranks: &RankList) -> Classification {
    let mut summary = Summary::default();
    let mut scan = StatementScan::new();
    for token in Tokenizer::new(sql) {
        if token != Token::Symbol(b';') {
            scan.push(token);
            continue;
        }
        if let Err(refusal) = summary.add(&mut scan, ranks) {
            return Classification::Refused(refusal);
        }
        scan = StatementScan::new();
    }
    match summary.add(&mut scan, ranks) {
        Ok(()) => summary.finish(),
        Err(refusal) => Classification::Refused(refusal),
    }
}

/// What is known of the statements of a message.
#[derive(Debug, Default)]
struct Summary {
    routed: Option<StatementKind>,
    first_local: Option<LocalStatement>,
    other_local: Vec<LocalStatement>,
}

impl Summary {
    /// Adds a statement, which may be empty.
    fn add(&mut self, scan: &mut StatementScan<'_>, ranks: &RankList) -> Result<(), Refusal> {
        if scan.length() == 0 {
            return Ok(());
        }
        match classify_statement(scan, ranks)? {
            Statement::Routed(kind) => {
                self.routed = Some(self.routed.map_or(kind, |_| StatementKind::Other));
            }
            Statement::Local(local) if self.first_local.is_none() => self.first_local = Some(local),
            Statement::Local(local) => self.other_local.push(local),
        }
        if self.routed.is_some() && self.first_local.is_some() {
            return Err(Refusal {
                hint: Some("Send the setting in a message of its own."),
                ..Refusal::new(
                    ResultCode::Unsupported,
                    "a setting of the proxy together with other statements in one message",
                )
            });
        }
        Ok(())
    }

    fn finish(mut self) -> Classification {
        match (self.routed, self.first_local) {
            (Some(kind), _) => Classification::Routed(kind),
            (None, None) => Classification::Local(LocalStatement::Empty),
            (None, Some(local)) if self.other_local.is_empty() => Classification::Local(local),
            (None, Some(local)) => {
                self.other_local.insert(0, local);
                Classification::LocalSeveral(self.other_local)
            }
        }
    }
}

enum Statement {
    Routed(StatementKind),
    Local(LocalStatement),
}

fn classify_statement(
    scan: &mut StatementScan<'_>,
    ranks: &RankList,
) -> Result<Statement, Refusal> {
    if let Some(refusal) = scan.take_unsupported() {
        return Err(refusal);
    }
    let first = scan.first();
    if first.is_any(&["select", "table", "values", "with"]) {
        return Ok(Statement::Routed(read_kind(scan.is_pure_query())));
    }
    if first.is_any(&["insert", "update", "delete"]) {
        let kind = if scan.is_plain_change() { StatementKind::Write } else { StatementKind::Other };
        return Ok(Statement::Routed(kind));
    }
    if let Some(whole) = scan.whole() {
        if let Some(kind) = transaction_kind(whole) {
            return Ok(Statement::Routed(kind));
        }
        if let Some(local) = local_statement(whole, ranks)? {
            return Ok(Statement::Local(local));
        }
    }
    if let Some(refusal) = unsupported_statement(scan.head()) {
        return Err(refusal);
    }
    let is_show = first.is("show") && !tells_role(scan.head());
    Ok(Statement::Routed(read_kind(is_show && scan.is_pure_query())))
}

/// Whether `SHOW` asks whether the instance takes writes, as drivers do that look for the primary. A
/// replica must not answer it for the database as a whole.
fn tells_role(head: &[Token<'_>]) -> bool {
    head.iter().any(|token| token.is_any(&["transaction_read_only", "in_hot_standby"]))
}

fn read_kind(is_read: bool) -> StatementKind {
    if is_read { StatementKind::Read } else { StatementKind::Other }
}
