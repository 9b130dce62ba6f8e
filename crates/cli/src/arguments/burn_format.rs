//! Forms of the burn report.

use clap::ValueEnum;

/// Form of the burn report.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub enum BurnFormat {
    /// A table, or JSON with `--output json`.
    Table,
    /// An SVG chart of the burn rates.
    Svg,
}
