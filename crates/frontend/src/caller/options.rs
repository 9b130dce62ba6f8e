//! The startup parameter `options`.

use flamingorock_core::ResultCode;

use super::{LocalStatement, RankList};
use crate::refusal::Refusal;
use crate::sql::setting_from_text;

/// Reads `-c name=value` and `--name=value` options into statements that set them.
pub(crate) fn parse_options(
    options: &str,
    ranks: &RankList,
) -> Result<Vec<LocalStatement>, Refusal> {
    let words = split_words(options);
    let mut statements = Vec::new();
    let mut words = words.iter().map(String::as_str);
    while let Some(word) = words.next() {
        let assignment = match (word.strip_prefix("--"), word.strip_prefix("-c")) {
            (Some(assignment), _) => Some(assignment),
            (None, Some("")) => words.next(),
            (None, assignment) => assignment,
        };
        let (name, value) =
            assignment.and_then(|assignment| assignment.split_once('=')).ok_or_else(|| {
                invalid(format!("option \"{word}\" is not of the form -c name=value"))
            })?;
        // Options may spell names with hyphens.
        let name = name.replace('-', "_");
        match setting_from_text(&name, value, ranks)? {
            Some(statement) => statements.push(statement),
            None => return Err(invalid(format!("\"{name}\" cannot be set to \"{value}\""))),
        }
    }
    Ok(statements)
}

fn invalid(detail: String) -> Refusal {
    Refusal::new(ResultCode::InvalidSetting, detail)
}

/// Splits at white space; a backslash takes the next character as it is.
fn split_words(options: &str) -> Vec<String> {
    let mut words = Vec::new();
    let mut word = String::new();
    let mut characters = options.chars();
    while let Some(character) = characters.next() {
        match character {
            '\\' => word.extend(characters.next()),
            _ if !character.is_whitespace() => word.push(character),
            _ if !word.is_empty() => words.push(core::mem::take(&mut word)),
            _ => {}
        }
    }
    if !word.is_empty() {
        words.push(word);
    }
    words
}
