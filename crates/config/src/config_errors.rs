//! All errors in a file.

use derive_more::{Display, Error, From};
use serde::Serialize;

use crate::ConfigError;

/// All errors of a file, in the order of their lines. One line of text for each.
#[derive(Clone, Debug, Display, Eq, Error, From, PartialEq, Serialize)]
#[display("{}", _0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
pub struct ConfigErrors(#[error(not(source))] pub Vec<ConfigError>);

impl ConfigErrors {
    /// Returns the value if there are no errors, or else the errors in the order of their lines.
    pub(crate) fn check<T>(
        mut errors: Vec<ConfigError>,
        value: Option<T>,
    ) -> Result<T, ConfigErrors> {
        match value {
            Some(value) if errors.is_empty() => Ok(value),
            _ => {
                errors.sort_by_key(|error| error.line);
                Err(Self(errors))
            }
        }
    }
}
