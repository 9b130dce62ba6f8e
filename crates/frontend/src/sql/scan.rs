//! What is known of one statement after its tokens have been seen once.

use super::functions::{is_pure, is_reserved, is_session_lock};
use super::token::Token;
use crate::refusal::Refusal;

/// Number of tokens kept from the start of a statement: the longest `BEGIN` with all its modes.
const HEAD_TOKENS: usize = 16;
/// Number of tokens kept before the present one: a qualified name and what precedes it.
const RECENT_TOKENS: usize = 3;

/// Length of `no`, the shortest keyword that is looked for in any place of a statement.
const SHORTEST_KEYWORD: usize = 2;
/// Length of `overriding`, the longest keyword that is looked for in any place of a statement.
const LONGEST_KEYWORD: usize = 10;

/// Collects what the classification needs to know of one statement, without allocating.
#[derive(Clone, Debug)]
pub(crate) struct StatementScan<'a> {
    head: [Token<'a>; HEAD_TOKENS],
    length: usize,
    /// The last tokens, the most recent first.
    recent: [Token<'a>; RECENT_TOKENS],
    /// Whether the name of the table of an `INSERT` is being read; a column list may follow it.
    in_insert_target: bool,
    calls_other_function: bool,
    has_modifying_word: bool,
    has_into: bool,
    has_row_lock: bool,
    is_unterminated: bool,
    unsupported: Option<Refusal>,
}

impl<'a> StatementScan<'a> {
    pub(crate) fn new() -> Self {
        Self {
            head: [Token::Symbol(b';'); HEAD_TOKENS],
            length: 0,
            recent: [Token::Symbol(b';'); RECENT_TOKENS],
            in_insert_target: false,
            calls_other_function: false,
            has_modifying_word: false,
            has_into: false,
            has_row_lock: false,
            is_unterminated: false,
            unsupported: None,
        }
    }

    /// Number of tokens of the statement.
    pub(crate) fn length(&self) -> usize {
        self.length
    }

    /// The first tokens of the statement.
    pub(crate) fn head(&self) -> &[Token<'a>] {
        &self.head[..self.length.min(HEAD_TOKENS)]
    }

    /// The first tokens if they are the whole statement.
    pub(crate) fn whole(&self) -> Option<&[Token<'a>]> {
        (self.length <= HEAD_TOKENS).then(|| self.head())
    }

    /// The first token.
    pub(crate) fn first(&self) -> Token<'a> {
        self.head[0]
    }

    /// Takes the use of a feature that the proxy does not support, if one was found.
    pub(crate) fn take_unsupported(&mut self) -> Option<Refusal> {
        self.unsupported.take()
    }

    /// Whether a query has no side effect, as far as its text tells.
    pub(crate) fn is_pure_query(&self) -> bool {
        !self.is_unterminated
            && !self.calls_other_function
            && !self.has_modifying_word
            && !self.has_into
            && !self.has_row_lock
    }

    /// Whether an `INSERT`, `UPDATE` or `DELETE` has no effect besides its rows.
    pub(crate) fn is_plain_change(&self) -> bool {
        !self.is_unterminated && !self.calls_other_function
    }

    /// Adds the next token.
    pub(crate) fn push(&mut self, token: Token<'a>) {
        match token {
            Token::Word(word) => self.see_word(word),
            Token::Symbol(b'(') => self.see_parenthesis(),
            Token::Unterminated => self.is_unterminated = true,
            _ => {}
        }
        if self.length < HEAD_TOKENS {
            self.head[self.length] = token;
        }
        self.length += 1;
        let [last, before, _] = self.recent;
        self.recent = [token, last, before];
    }

    fn see_word(&mut self, word: &[u8]) {
        // One lookup for all keywords: this runs for every word of every statement.
        let mut lower = [0; LONGEST_KEYWORD];
        if word.len() < SHORTEST_KEYWORD || word.len() > LONGEST_KEYWORD {
            return;
        }
        for (lower, byte) in lower.iter_mut().zip(word) {
            *lower = byte.to_ascii_lowercase();
        }
        let previous = self.recent[0];
        match &lower[..word.len()] {
            b"into" => {
                self.has_into = true;
                self.in_insert_target = self.first().is("insert") && previous.is("insert");
            }
            b"insert" | b"update" | b"delete" | b"merge" => self.has_modifying_word = true,
            b"share" | b"no" | b"key" => self.has_row_lock |= previous.is("for"),
            b"values" | b"select" | b"default" | b"with" | b"overriding" => {
                self.in_insert_target = false;
            }
            b"hold" if previous.is("with") && self.first().is("declare") => {
                self.refuse(Refusal::unsupported(
                    "DECLARE ... WITH HOLD",
                    "Declare the cursor without WITH HOLD and read it inside the transaction.",
                ));
            }
            b"temp" | b"temporary" if previous.is("into") => {
                self.refuse(super::unsupported::temporary_table());
            }
            _ => {}
        }
    }

    /// Looks at the name before an opening parenthesis.
    fn see_parenthesis(&mut self) {
        let [name, before, qualifier] = self.recent;
        if core::mem::take(&mut self.in_insert_target) {
            return;
        }
        let is_qualified = before == Token::Symbol(b'.');
        match name {
            Token::Word(word) => {
                self.see_function_name(word);
                let is_builtin = !is_qualified || qualifier.is("pg_catalog");
                let is_known = (is_pure(word) && is_builtin)
                    || (!is_qualified && (is_reserved(word) || is_grammar(name, before)));
                self.calls_other_function |= !is_known;
            }
            Token::Quoted(word) => {
                self.see_function_name(word);
                self.calls_other_function = true;
            }
            _ => {}
        }
    }

    fn see_function_name(&mut self, name: &[u8]) {
        if is_session_lock(name) {
            self.refuse(Refusal::unsupported(
                "advisory locks of a session",
                "Use pg_advisory_xact_lock inside a transaction.",
            ));
        } else if name.eq_ignore_ascii_case(b"set_config") {
            self.refuse(Refusal::unsupported(
                "the function set_config",
                "Use SET LOCAL inside a transaction.",
            ));
        }
    }

    fn refuse(&mut self, refusal: Refusal) {
        self.unsupported.get_or_insert(refusal);
    }
}

/// Whether a word that is not reserved stands before a parenthesis as a part of the grammar. Outside
/// these places it can be the name of a function.
fn is_grammar(word: Token<'_>, before: Token<'_>) -> bool {
    let follows_call = before == Token::Symbol(b')');
    let follows_operand = match before {
        Token::Word(word) => !is_reserved(word) && !before.is("by"),
        Token::Quoted(_) | Token::Text(_) | Token::Number(_) | Token::Parameter => true,
        _ => false,
    };
    (word.is_any(&["over", "filter"]) && follows_call)
        || (word.is("by") && before.is_any(&["order", "group", "partition"]))
        || (word.is("conflict") && before.is("on"))
        || (word.is("group") && before.is("within"))
        || (word.is("varying") && before.is_any(&["bit", "char", "character"]))
        || (word.is_any(&["join", "like", "ilike"]) && follows_operand)
}
