//! Splitting of SQL text into tokens.

use super::Token;

/// Iterates over the tokens of SQL text without copying any of it.
///
/// The rules are PostgreSQL's with `standard_conforming_strings` on, which callers cannot change: a
/// backslash escapes only in `E'…'`, comments in `/* */` nest, and `$tag$` opens a string unless it
/// continues an identifier.
#[derive(Clone, Debug)]
pub(crate) struct Tokenizer<'a> {
    text: &'a [u8],
    at: usize,
}

impl<'a> Tokenizer<'a> {
    pub(crate) fn new(text: &'a [u8]) -> Self {
        Self { text, at: 0 }
    }

    fn peek(&self, ahead: usize) -> u8 {
        self.text.get(self.at + ahead).copied().unwrap_or(0)
    }

    fn end(&mut self) -> Token<'a> {
        self.at = self.text.len();
        Token::Unterminated
    }

    /// Skips white space and comments. Returns `false` if a comment is not closed.
    fn skip_blanks(&mut self) -> bool {
        loop {
            match (self.peek(0), self.peek(1)) {
                (b' ' | b'\t' | b'\n' | b'\r' | 0x0b | 0x0c, _) => self.at += 1,
                (b'-', b'-') => {
                    let line = &self.text[self.at..];
                    let end = line.iter().position(|byte| matches!(byte, b'\n' | b'\r'));
                    self.at += end.unwrap_or(line.len());
                }
                (b'/', b'*') => {
                    if !self.skip_comment() {
                        return false;
                    }
                }
                _ => return true,
            }
        }
    }

    fn skip_comment(&mut self) -> bool {
        let mut depth = 0_usize;
        while self.at < self.text.len() {
            match (self.peek(0), self.peek(1)) {
                (b'/', b'*') => {
                    depth += 1;
                    self.at += 2;
                }
                (b'*', b'/') => {
                    depth -= 1;
                    self.at += 2;
                    if depth == 0 {
                        return true;
                    }
                }
                _ => self.at += 1,
            }
        }
        false
    }

    /// Reads a quoted token whose opening quote is the present character.
    fn quoted(&mut self, backslash_escapes: bool) -> Option<&'a [u8]> {
        let quote = self.peek(0);
        let start = self.at + 1;
        let mut at = start;
        while let Some(byte) = self.text.get(at) {
            if backslash_escapes && *byte == b'\\' {
                at += 2;
            } else if *byte != quote {
                at += 1;
            } else if self.text.get(at + 1) == Some(&quote) {
                at += 2;
            } else {
                self.at = at + 1;
                return Some(&self.text[start..at]);
            }
        }
        None
    }

    fn word(&mut self) -> Token<'a> {
        let rest = &self.text[self.at..];
        let length = rest.iter().position(|byte| !continues_word(*byte)).unwrap_or(rest.len());
        let word = &rest[..length];
        self.at += length;
        if word.eq_ignore_ascii_case(b"e") && self.peek(0) == b'\'' {
            return match self.quoted(true) {
                Some(_) => Token::OtherText,
                None => self.end(),
            };
        }
        Token::Word(word)
    }

    fn number(&mut self) -> Token<'a> {
        let rest = &self.text[self.at..];
        let is_part = |byte: &u8| byte.is_ascii_digit() || *byte == b'.';
        let length = rest.iter().position(|byte| !is_part(byte)).unwrap_or(rest.len());
        self.at += length;
        Token::Number(&rest[..length])
    }

    fn dollar(&mut self) -> Token<'a> {
        if self.peek(1).is_ascii_digit() {
            self.at += 1;
            self.number();
            return Token::Parameter;
        }
        let rest = &self.text[self.at..];
        let tag_length = rest[1..].iter().position(|byte| *byte == b'$' || !continues_word(*byte));
        let Some(tag_end) = tag_length.map(|length| length + 1).filter(|end| rest[*end] == b'$')
        else {
            self.at += 1;
            return Token::Symbol(b'$');
        };
        let tag = &rest[..=tag_end];
        let body = &rest[tag.len()..];
        match body.windows(tag.len()).position(|window| window == tag) {
            Some(length) => {
                self.at += tag.len() + length + tag.len();
                Token::OtherText
            }
            None => self.end(),
        }
    }
}

impl<'a> Iterator for Tokenizer<'a> {
    type Item = Token<'a>;

    fn next(&mut self) -> Option<Token<'a>> {
        if !self.skip_blanks() {
            return Some(self.end());
        }
        let first = *self.text.get(self.at)?;
        Some(match first {
            b'\'' => self.quoted(false).map_or_else(|| self.end(), Token::Text),
            b'"' => self.quoted(false).map_or_else(|| self.end(), Token::Quoted),
            b'$' => self.dollar(),
            b'0'..=b'9' => self.number(),
            b'.' if self.peek(1).is_ascii_digit() => self.number(),
            _ if starts_word(first) => self.word(),
            _ => {
                self.at += 1;
                Token::Symbol(first)
            }
        })
    }
}

fn starts_word(byte: u8) -> bool {
    WORD_BYTES[usize::from(byte)] && !byte.is_ascii_digit() && byte != b'$'
}

fn continues_word(byte: u8) -> bool {
    WORD_BYTES[usize::from(byte)]
}

/// Bytes that continue a word: letters, digits, `_`, `$` and all bytes outside of ASCII.
static WORD_BYTES: [bool; 256] = {
    let mut table = [false; 256];
    let mut byte = 0_u8;
    loop {
        table[byte as usize] =
            byte.is_ascii_alphanumeric() || byte == b'_' || byte == b'$' || byte >= 0x80;
        if byte == u8::MAX {
            break table;
        }
        byte += 1;
    }
};
