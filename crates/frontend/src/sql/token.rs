//! Tokens of SQL text.

use std::borrow::Cow;

/// A token of SQL text. Comments and white space are not tokens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Token<'a> {
    /// Keyword or unquoted identifier.
    Word(&'a [u8]),
    /// Quoted identifier, without the quotes.
    Quoted(&'a [u8]),
    /// String constant in single quotes, without the quotes; a quote inside is doubled.
    Text(&'a [u8]),
    /// String constant that may hold backslash escapes, or one in dollar quotes.
    OtherText,
    /// Digits and dots.
    Number(&'a [u8]),
    /// Parameter such as `$1`.
    Parameter,
    /// Any other character.
    Symbol(u8),
    /// A quote or comment that is not closed. The text ends here.
    Unterminated,
}

impl Token<'_> {
    /// Whether the token is the given keyword (in lower case), in any case of letters.
    pub(crate) fn is(&self, keyword: &str) -> bool {
        matches!(self, Self::Word(word) if word.eq_ignore_ascii_case(keyword.as_bytes()))
    }

    /// Whether the token is one of the given keywords.
    pub(crate) fn is_any(&self, keywords: &[&str]) -> bool {
        keywords.iter().any(|keyword| self.is(keyword))
    }

    /// The token as a name or value in `SET`; unquoted words are folded to lower case.
    pub(crate) fn value(&self) -> Option<Cow<'_, str>> {
        match self {
            Self::Word(word) => {
                Some(Cow::Owned(String::from_utf8_lossy(word).to_ascii_lowercase()))
            }
            Self::Text(text) => Some(unquoted(text, "''", "'")),
            Self::Quoted(text) => Some(unquoted(text, "\"\"", "\"")),
            Self::Number(digits) => Some(String::from_utf8_lossy(digits)),
            _ => None,
        }
    }
}

fn unquoted<'a>(text: &'a [u8], doubled: &str, single: &str) -> Cow<'a, str> {
    let text = String::from_utf8_lossy(text);
    if text.contains(doubled) { Cow::Owned(text.replace(doubled, single)) } else { text }
}
