//! Statements that the proxy answers by itself.

use std::borrow::Cow;

use super::Token;
use crate::caller::{LocalStatement, RankList, SessionSettings, Setting};
use crate::refusal::Refusal;
use flamingorock_core::ResultCode;

/// Recognises a statement that the proxy answers by itself; `None` for all others.
pub(crate) fn local_statement(
    statement: &[Token<'_>],
    ranks: &RankList,
) -> Result<Option<LocalStatement>, Refusal> {
    let Some((first, rest)) = statement.split_first() else {
        return Ok(Some(LocalStatement::Empty));
    };
    if first.is("set") {
        return set_statement(rest, ranks);
    }
    Ok(match rest {
        [all] if first.is("discard") && all.is("all") => Some(LocalStatement::DiscardAll),
        [all] if first.is("deallocate") && all.is("all") => Some(LocalStatement::DeallocateAll),
        [prepare, all] if first.is("deallocate") && prepare.is("prepare") && all.is("all") => {
            Some(LocalStatement::DeallocateAll)
        }
        [all] if first.is("reset") && all.is("all") => Some(LocalStatement::ResetAll),
        _ if first.is("reset") => setting_named(rest).map(LocalStatement::Reset),
        _ if first.is("show") => setting_named(rest).map(LocalStatement::Show),
        _ => None,
    })
}

/// Reads a setting from the startup parameter `options` or from `SET`.
pub(crate) fn setting_from_text(
    name: &str,
    value: &str,
    ranks: &RankList,
) -> Result<Option<LocalStatement>, Refusal> {
    let name = name.to_ascii_lowercase();
    if let Some(setting) = Setting::from_name(&name) {
        return SessionSettings::parse(setting, value, ranks).map(Some);
    }
    if name.starts_with("flamingorock.") {
        let detail = format!("\"{name}\" is not a setting of the proxy");
        return Err(Refusal::new(ResultCode::InvalidSetting, detail));
    }
    Ok(has_no_effect(&name, value).then_some(LocalStatement::Ignored))
}

fn set_statement(rest: &[Token<'_>], ranks: &RankList) -> Result<Option<LocalStatement>, Refusal> {
    let (is_local, rest) = match rest {
        [scope, rest @ ..] if scope.is("session") => (false, rest),
        [scope, rest @ ..] if scope.is("local") => (true, rest),
        _ => (false, rest),
    };
    let Some((name, value)) = assignment(rest) else { return Ok(None) };
    if is_local {
        return set_local(&name, value);
    }
    match (value, Setting::from_name(&name)) {
        ([value], Some(setting)) if value.is("default") => Ok(Some(LocalStatement::Reset(setting))),
        _ => match value_text(value) {
            Some(value) => setting_from_text(&name, &value, ranks),
            None => Ok(None),
        },
    }
}

/// `SET LOCAL`, which a backend server runs unless the proxy depends on the setting.
fn set_local(name: &str, value: &[Token<'_>]) -> Result<Option<LocalStatement>, Refusal> {
    if name.starts_with("flamingorock.") {
        return Err(Refusal::unsupported("SET LOCAL of a setting of the proxy", "Use SET."));
    }
    if !guards_text(name) {
        return Ok(None);
    }
    let is_in_force = value_text(value).is_some_and(|value| has_no_effect(name, &value));
    is_in_force.then_some(Some(LocalStatement::Ignored)).ok_or_else(|| {
        let hint = "Leave the setting as it is; it decides where strings end.";
        Refusal::unsupported("SET LOCAL of client_encoding or standard_conforming_strings", hint)
    })
}

/// Splits `NAME = VALUE`, `NAME TO VALUE`, `TIME ZONE VALUE` and `NAMES VALUE`.
fn assignment<'a, 't>(rest: &'a [Token<'t>]) -> Option<(Cow<'t, str>, &'a [Token<'t>])> {
    match rest {
        [time, zone, value @ ..] if time.is("time") && zone.is("zone") => {
            Some((Cow::Borrowed("timezone"), value))
        }
        [names, value @ ..] if names.is("names") => Some((Cow::Borrowed("client_encoding"), value)),
        _ => {
            let is_sign = |token: &Token<'_>| *token == Token::Symbol(b'=') || token.is("to");
            let sign = rest.iter().take(4).position(is_sign)?;
            Some((name_of(&rest[..sign])?, &rest[sign + 1..]))
        }
    }
}

fn setting_named(tokens: &[Token<'_>]) -> Option<Setting> {
    Setting::from_name(&name_of(tokens)?)
}

/// Name of a setting: a word, or two words with a dot between them.
fn name_of<'t>(tokens: &[Token<'t>]) -> Option<Cow<'t, str>> {
    match tokens {
        [name] => name_part(*name).map(Cow::Owned),
        [class, Token::Symbol(b'.'), name] => {
            Some(Cow::Owned(format!("{}.{}", name_part(*class)?, name_part(*name)?)))
        }
        _ => None,
    }
}

fn name_part(token: Token<'_>) -> Option<String> {
    match token {
        Token::Word(_) | Token::Quoted(_) => token.value().map(|name| name.to_ascii_lowercase()),
        _ => None,
    }
}

/// Value of a setting as text; the parts of a list are joined by commas.
fn value_text<'a>(tokens: &'a [Token<'_>]) -> Option<Cow<'a, str>> {
    match tokens {
        [] => None,
        [value] => value.value(),
        [Token::Symbol(b'-'), Token::Number(digits)] => {
            Some(Cow::Owned(format!("-{}", String::from_utf8_lossy(digits))))
        }
        _ => {
            let mut text = String::new();
            for (index, token) in tokens.iter().enumerate() {
                match (index % 2, token) {
                    (1, Token::Symbol(b',')) => text.push_str(", "),
                    (0, token) => text.push_str(&token.value()?),
                    _ => return None,
                }
            }
            Some(Cow::Owned(text))
        }
    }
}

/// Whether the classification depends on a setting: with another value, a string could end at another
/// place for the backend server than it does here.
fn guards_text(name: &str) -> bool {
    matches!(name, "client_encoding" | "standard_conforming_strings")
}

/// Whether a value is what is in force anyway, or changes nothing that a caller can see.
fn has_no_effect(name: &str, value: &str) -> bool {
    let value = value.trim().to_ascii_lowercase();
    match name {
        "client_encoding" => matches!(value.as_str(), "utf8" | "utf-8" | "unicode"),
        // From version 12 on, every value above 0 gives the shortest exact text.
        "extra_float_digits" => matches!(value.as_str(), "1" | "2" | "3"),
        "datestyle" => matches!(value.replace(' ', "").as_str(), "iso" | "iso,mdy"),
        "timezone" => matches!(value.as_str(), "utc" | "etc/utc"),
        "client_min_messages" => matches!(
            value.as_str(),
            "debug5"
                | "debug4"
                | "debug3"
                | "debug2"
                | "debug1"
                | "log"
                | "notice"
                | "warning"
                | "error"
        ),
        "standard_conforming_strings" => matches!(value.as_str(), "on" | "true" | "yes" | "1"),
        _ => false,
    }
}
