//! Settings that the proxy keeps for a session.

/// A setting that the proxy keeps for a session.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Setting {
    /// `flamingorock.rank`
    Rank,
    /// `flamingorock.max_staleness_ms`
    MaxStaleness,
    /// `flamingorock.deadline_ms`
    Deadline,
    /// `application_name`
    ApplicationName,
}

impl Setting {
    /// Finds a setting by its name in lower case.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "flamingorock.rank" => Some(Self::Rank),
            "flamingorock.max_staleness_ms" => Some(Self::MaxStaleness),
            "flamingorock.deadline_ms" => Some(Self::Deadline),
            "application_name" => Some(Self::ApplicationName),
            _ => None,
        }
    }

    /// Name of the setting.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Rank => "flamingorock.rank",
            Self::MaxStaleness => "flamingorock.max_staleness_ms",
            Self::Deadline => "flamingorock.deadline_ms",
            Self::ApplicationName => "application_name",
        }
    }
}
