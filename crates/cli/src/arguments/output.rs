//! Forms of output.

use clap::ValueEnum;

/// Form of what is printed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub enum Output {
    /// Text for people; failures go to the standard error.
    Text,
    /// One JSON object, failures included.
    Json,
}
