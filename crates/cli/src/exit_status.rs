//! Exit codes.

use std::process::ExitCode;

/// Exit codes of the command line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum ExitStatus {
    /// Done.
    Done = 0,
    /// Refused, or the input is not valid. Nothing was changed.
    Refused = 1,
    /// Wrong usage.
    Usage = 2,
    /// Another operator's apply won. Nothing was changed.
    LostRace = 3,
    /// The store, or every proxy, is unreachable. Nothing was changed.
    Unreachable = 4,
    /// It is not known whether something was changed.
    Unknown = 5,
}

impl ExitStatus {
    /// Text for `--help`.
    pub const HELP: &'static str = "Exit codes:
  0  done
  1  refused or invalid input, nothing was changed
  2  wrong usage
  3  lost race: another apply won, nothing was changed
  4  store or proxy unreachable, nothing was changed
  5  outcome unknown";
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}
