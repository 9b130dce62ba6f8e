//! Recognition of statements that begin, end or divide a transaction.

use flamingorock_core::StatementKind;

use super::Token;

/// Words of the modes of a transaction.
const MODES: &[&str] = &[
    "isolation",
    "level",
    "serializable",
    "repeatable",
    "read",
    "committed",
    "uncommitted",
    "write",
    "only",
    "not",
    "deferrable",
];

/// Kind of a statement that controls a transaction; `None` if it is another statement or has a form
/// that is not known here.
pub(crate) fn transaction_kind(statement: &[Token<'_>]) -> Option<StatementKind> {
    let (first, rest) = statement.split_first()?;
    if first.is("begin") {
        let modes = skip_noise(rest);
        return are_modes(modes).then_some(StatementKind::Begin);
    }
    if first.is("start") {
        let modes = rest.split_first().filter(|(word, _)| word.is("transaction"))?.1;
        return are_modes(modes).then_some(StatementKind::Begin);
    }
    if first.is_any(&["commit", "end", "rollback", "abort"]) {
        return end_kind(*first, skip_noise(rest));
    }
    first.is_any(&["savepoint", "release"]).then_some(StatementKind::Write)
}

fn skip_noise<'a, 't>(rest: &'a [Token<'t>]) -> &'a [Token<'t>] {
    match rest.split_first() {
        Some((word, rest)) if word.is_any(&["work", "transaction"]) => rest,
        _ => rest,
    }
}

fn end_kind(first: Token<'_>, rest: &[Token<'_>]) -> Option<StatementKind> {
    match rest {
        [] => Some(StatementKind::EndTransaction),
        [and, no, chain] if and.is("and") && no.is("no") && chain.is("chain") => {
            Some(StatementKind::EndTransaction)
        }
        [to, ..] if first.is("rollback") && to.is("to") => Some(StatementKind::Write),
        _ => None,
    }
}

fn are_modes(tokens: &[Token<'_>]) -> bool {
    tokens.iter().all(|token| *token == Token::Symbol(b',') || token.is_any(MODES))
}
