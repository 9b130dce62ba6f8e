//! Splits SQL text into tokens.

use crate::database::error::SqlError;

#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Token {
    /// Keyword or name; lower case unless it was quoted.
    Word(String),
    Number(String),
    Text(String),
    /// `$n`, counted from 1.
    Parameter(usize),
    Symbol(&'static str),
}

/// Longer symbols first, because the first match is taken.
const SYMBOLS: [&str; 17] =
    ["::", "<=", ">=", "<>", "!=", "(", ")", ",", ";", "*", "=", "<", ">", "+", "-", ".", "/"];

pub(crate) fn tokenize(sql: &str) -> Result<Vec<Token>, SqlError> {
    let mut tokens = Vec::new();
    let mut rest = skip_blank(sql)?;
    while let Some(first) = rest.chars().next() {
        let (token, length) = match first {
            '\'' => quoted(rest, '\'').map(|(text, length)| (Token::Text(text), length))?,
            '"' => quoted(rest, '"').map(|(text, length)| (Token::Word(text), length))?,
            '$' => {
                let digits = span(&rest[1..], |c| c.is_ascii_digit());
                let number = digits.parse().ok().filter(|number| (1..=65_535).contains(number));
                let number = number.ok_or_else(|| SqlError::syntax("malformed parameter"))?;
                (Token::Parameter(number), 1 + digits.len())
            }
            '0'..='9' => {
                let number = span(rest, |c| c.is_ascii_digit() || c == '.');
                (Token::Number(number.to_owned()), number.len())
            }
            c if c.is_alphabetic() || c == '_' => {
                let word = span(rest, |c| c.is_alphanumeric() || c == '_');
                (Token::Word(word.to_lowercase()), word.len())
            }
            c => {
                let symbol = SYMBOLS.iter().find(|symbol| rest.starts_with(**symbol));
                let symbol = symbol.ok_or_else(|| SqlError::syntax(format!("unexpected {c:?}")))?;
                (Token::Symbol(symbol), symbol.len())
            }
        };
        tokens.push(token);
        rest = skip_blank(&rest[length..])?;
    }
    Ok(tokens)
}

fn span(text: &str, accept: impl Fn(char) -> bool) -> &str {
    &text[..text.find(|c| !accept(c)).unwrap_or(text.len())]
}

/// Reads a quoted token in which a doubled quote stands for one; returns it and its length in bytes.
fn quoted(text: &str, quote: char) -> Result<(String, usize), SqlError> {
    let mut value = String::new();
    let mut characters = text.char_indices().skip(1).peekable();
    while let Some((index, c)) = characters.next() {
        if c != quote {
            value.push(c);
        } else if characters.next_if(|(_, next)| *next == quote).is_some() {
            value.push(quote);
        } else {
            return Ok((value, index + 1));
        }
    }
    Err(SqlError::syntax("unterminated quoted string"))
}

/// Skips white space and comments.
fn skip_blank(mut text: &str) -> Result<&str, SqlError> {
    loop {
        text = text.trim_start();
        if text.starts_with("--") {
            text = text.find('\n').map_or("", |end| &text[end..]);
        } else if let Some(comment) = text.strip_prefix("/*") {
            let end = comment.find("*/").ok_or_else(|| SqlError::syntax("unterminated comment"))?;
            text = &comment[end + 2..];
        } else {
            return Ok(text);
        }
    }
}
