//! All errors found in one settings or service file.

use derive_more::{Display, Error, From};
use serde::Serialize;

use crate::ConfigError;

/// All errors found in a file, sorted by line. `Display` prints one error per line.
#[derive(Clone, Debug, Display, Eq, Error, From, PartialEq, Serialize)]
#[display("{}", _0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
pub struct ConfigErrors(#[error(not(source))] pub Vec<ConfigError>);

impl ConfigErrors {
    /// Returns the value if parsing reported no errors, otherwise the errors sorted by line.
    pub(crate) fn ok_or_sorted<T>(
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
