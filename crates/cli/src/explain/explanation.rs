//! What is known about a request.

use core::fmt;

use serde::Serialize;

use crate::table::table_text;

/// The lines about a request and those that led to them.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Explanation {
    /// Id of the request.
    pub request: String,
    /// The lines, the oldest first.
    pub lines: Vec<ExplainedLine>,
}

/// A line of a log.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ExplainedLine {
    /// Time by the clock of the line's host.
    pub timestamp: String,
    /// File that has it.
    pub file: String,
    /// Whether it is about the request itself.
    pub is_request: bool,
    /// Event that it records.
    pub event: String,
    /// Its other fields.
    pub text: String,
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let header = ["", "TIME", "LOG", "EVENT", "WHAT"].map(str::to_owned);
        let row = |line: &ExplainedLine| {
            vec![
                if line.is_request { "*" } else { "" }.to_owned(),
                line.timestamp.clone(),
                line.file.clone(),
                line.event.clone(),
                line.text.clone(),
            ]
        };
        let rows: Vec<Vec<String>> = self.lines.iter().map(row).collect();
        f.write_str(&table_text(&header, &rows, header.len()))
    }
}
