//! Errors of calls to database instances.

use displaydoc::Display;

/// Why the answer to a call of a database instance is not a report.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum GroupError {
    /// the instance answered with an error: {sqlstate} {message}
    Failed {
        /// SQLSTATE.
        sqlstate: String,
        /// Message text.
        message: String,
    },
    /// the answer has a malformed message of type 0x{0:02x}
    Malformed(u8),
    /// the answer has {0} rows instead of one
    RowCount(usize),
    /// the answer lacks the column {0}
    MissingColumn(&'static str),
    /// the column {column} has the invalid value "{value}"
    InvalidValue {
        /// Name of the column.
        column: &'static str,
        /// Value found.
        value: String,
    },
}

impl core::error::Error for GroupError {}
