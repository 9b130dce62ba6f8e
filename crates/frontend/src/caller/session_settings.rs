//! Settings in force for a session.

use std::sync::Arc;

use flamingorock_core::ResultCode;

use super::{LocalStatement, RankList, Setting};
use crate::refusal::Refusal;

/// Greatest age of data that a caller can ask for: a day. Services allow far less.
const MAX_STALENESS_MS: u32 = 86_400_000;
/// Greatest deadline that a caller can ask for: an hour.
const MAX_DEADLINE_MS: u32 = 3_600_000;
/// Length at which PostgreSQL truncates an application name.
const APPLICATION_NAME_BYTES: usize = 63;

/// Settings in force for a session. What is `None` follows the service's rules.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SessionSettings {
    /// Name of the rank.
    pub rank: Option<Arc<str>>,
    /// Age of data that a read may see.
    pub max_staleness_ms: Option<u32>,
    /// Time after which a request is given up.
    pub deadline_ms: Option<u32>,
    /// Name that the caller gives itself.
    pub application_name: Arc<str>,
}

impl SessionSettings {
    /// Checks the value of a setting.
    pub(crate) fn parse(
        setting: Setting,
        value: &str,
        ranks: &RankList,
    ) -> Result<LocalStatement, Refusal> {
        match setting {
            Setting::Rank => match ranks.find(value) {
                Some(rank) => Ok(LocalStatement::SetRank(Arc::clone(rank))),
                None => Err(unknown_rank(value, ranks)),
            },
            Setting::MaxStaleness => {
                parse_ms(setting, value, MAX_STALENESS_MS).map(LocalStatement::SetMaxStaleness)
            }
            Setting::Deadline => parse_ms(setting, value, MAX_DEADLINE_MS)
                .map(|value| LocalStatement::SetDeadline((value > 0).then_some(value))),
            Setting::ApplicationName => Ok(Self::application_name(value)),
        }
    }

    /// Statement that sets the application name.
    pub(crate) fn application_name(value: &str) -> LocalStatement {
        LocalStatement::SetApplicationName(Arc::from(truncated(value)))
    }

    /// Carries out a statement that sets or resets a setting.
    pub(crate) fn apply(&mut self, statement: &LocalStatement, initial: &Self) {
        match statement {
            LocalStatement::SetRank(rank) => self.rank = Some(Arc::clone(rank)),
            LocalStatement::SetMaxStaleness(value) => self.max_staleness_ms = Some(*value),
            LocalStatement::SetDeadline(value) => self.deadline_ms = *value,
            LocalStatement::SetApplicationName(name) => self.application_name = Arc::clone(name),
            LocalStatement::Reset(setting) => self.reset(*setting, initial),
            LocalStatement::ResetAll | LocalStatement::DiscardAll => *self = initial.clone(),
            _ => {}
        }
    }

    fn reset(&mut self, setting: Setting, initial: &Self) {
        match setting {
            Setting::Rank => self.rank.clone_from(&initial.rank),
            Setting::MaxStaleness => self.max_staleness_ms = initial.max_staleness_ms,
            Setting::Deadline => self.deadline_ms = initial.deadline_ms,
            Setting::ApplicationName => self.application_name.clone_from(&initial.application_name),
        }
    }

    /// Value of a setting as `SHOW` gives it.
    pub(crate) fn show(&self, setting: Setting, ranks: &RankList) -> String {
        match setting {
            Setting::Rank => self.rank.as_deref().unwrap_or(ranks.default_name()).to_owned(),
            Setting::MaxStaleness => self
                .max_staleness_ms
                .map_or_else(|| "default".to_owned(), |value| value.to_string()),
            Setting::Deadline => self.deadline_ms.unwrap_or(0).to_string(),
            Setting::ApplicationName => self.application_name.to_string(),
        }
    }
}

fn unknown_rank(value: &str, ranks: &RankList) -> Refusal {
    let detail = format!("\"{value}\" is not one of: {}", ranks.joined());
    Refusal::new(ResultCode::UnknownRank, detail)
}

fn parse_ms(setting: Setting, value: &str, max: u32) -> Result<u32, Refusal> {
    value.trim().parse().ok().filter(|value| *value <= max).ok_or_else(|| {
        let name = setting.name();
        let detail = format!("{name} is \"{value}\"; allowed are milliseconds from 0 to {max}");
        Refusal::new(ResultCode::InvalidSetting, detail)
    })
}

fn truncated(name: &str) -> &str {
    &name[..name.floor_char_boundary(APPLICATION_NAME_BYTES)]
}
