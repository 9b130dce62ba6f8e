//! `explain`: what the collected logs say about a request.

mod explanation;
mod log_line;

pub use explanation::{ExplainedLine, Explanation};
use log_line::LogLine;

use crate::Failure;

/// Events of a replacement, which concern every proxy.
const REPLACEMENT: [&str; 5] =
    ["claiming", "promoting", "promotion_answer", "claim_dropped", "primary"];

/// The log of one process.
#[derive(Clone, Debug)]
pub struct LogFile {
    /// Name of the file.
    pub name: String,
    /// Its lines.
    pub text: String,
}

/// Finds the lines about a request, and the changes of belief that led to them: those of the same
/// process within `before_us` of the first line, and replacements of primaries that others carried out.
/// Lines of different hosts are ordered by their clocks, which may differ.
///
/// # Errors
///
/// No file has a line about the request.
pub fn explain(id: &str, files: &[LogFile], before_us: u64) -> Result<Explanation, Failure> {
    let lines: Vec<LogLine> = files
        .iter()
        .flat_map(|file| file.text.lines().filter_map(|line| LogLine::parse(&file.name, line)))
        .collect();
    let own: Vec<&LogLine> = lines.iter().filter(|line| line.request == id).collect();
    let (Some(first), Some(last)) = (
        own.iter().map(|line| line.at_unix_us).min(),
        own.iter().map(|line| line.at_unix_us).max(),
    ) else {
        return Err(Failure::Refused {
            reason: format!(
                "no line about request {id} in {} files; served requests are counted, not logged",
                files.len()
            ),
        });
    };
    let is_near = |line: &LogLine| line.at_unix_us + before_us >= first && line.at_unix_us <= last;
    let is_same = |line: &LogLine| own.iter().any(|own| own.file == line.file);
    let mut told: Vec<&LogLine> = lines
        .iter()
        .filter(|line| {
            let is_context = line.request.is_empty()
                && is_near(line)
                && (is_same(line) || REPLACEMENT.contains(&line.event.as_str()));
            line.request == id || is_context
        })
        .collect();
    told.sort_by_key(|line| line.at_unix_us);
    let explained = told.into_iter().map(|line| line.explained(id)).collect();
    Ok(Explanation { request: id.to_owned(), lines: explained })
}
