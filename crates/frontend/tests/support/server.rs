//! A model of what a backend server answers, as far as prepared statements go.

use std::collections::HashMap;

use crate::support::message;

/// Prepared statements and portals of a session. Text with `bad` in it fails to parse; text that
/// starts with `SET` returns no rows.
#[derive(Clone, Default)]
pub(crate) struct Server {
    statements: HashMap<String, String>,
    portals: HashMap<String, String>,
    failed: bool,
}

impl Server {
    /// Runs messages and returns the answer.
    pub(crate) fn run(&mut self, messages: &[u8]) -> Vec<u8> {
        let mut answer = Vec::new();
        let mut rest = messages;
        while let [tag, a, b, c, d, ..] = rest {
            let size = u32::from_be_bytes([*a, *b, *c, *d]) as usize + 1;
            let body = &rest[5..size];
            rest = &rest[size..];
            if *tag == b'S' {
                self.failed = false;
                self.portals.clear();
                answer.extend(message(b'Z', b"I"));
            } else if !self.failed {
                match self.run_message(*tag, body) {
                    Some(part) => answer.extend(part),
                    None => {
                        self.failed = true;
                        answer.extend(message(b'E', b"\0"));
                    }
                }
            }
        }
        answer
    }

    /// Answers one message, or returns `None` if it fails.
    fn run_message(&mut self, tag: u8, body: &[u8]) -> Option<Vec<u8>> {
        let text = String::from_utf8_lossy(body);
        let mut fields = text.split('\0').map(str::to_owned);
        let first = fields.next()?;
        match tag {
            b'P' => {
                if first.is_empty() {
                    self.statements.remove("");
                }
                let sql = fields.next().filter(|sql| !sql.contains("bad"))?;
                let is_new = self.statements.insert(first, sql).is_none();
                is_new.then(|| message(b'1', b""))
            }
            b'B' => {
                let sql = self.statements.get(&fields.next()?)?.clone();
                self.portals.insert(first, sql);
                Some(message(b'2', b""))
            }
            b'D' => {
                let (what, name) = first.split_at(1);
                let (mut answer, named) = match what {
                    "S" => (message(b't', b"\0\0"), &self.statements),
                    _ => (Vec::new(), &self.portals),
                };
                answer.extend(described(named.get(name)?));
                Some(answer)
            }
            b'E' => self.portals.get(&first).map(|sql| executed(sql)),
            _ => {
                let (what, name) = first.split_at(1);
                let named = if what == "S" { &mut self.statements } else { &mut self.portals };
                named.remove(name);
                Some(message(b'3', b""))
            }
        }
    }
}

fn described(sql: &str) -> Vec<u8> {
    if sql.is_empty() || sql.starts_with("SET") {
        return message(b'n', b"");
    }
    message(b'T', sql.as_bytes())
}

fn executed(sql: &str) -> Vec<u8> {
    match sql {
        "" => message(b'I', b""),
        _ if sql.starts_with("SET") => message(b'C', b"SET\0"),
        _ => [message(b'D', sql.as_bytes()), message(b'C', b"SELECT 1\0")].concat(),
    }
}
