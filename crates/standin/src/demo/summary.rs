//! Result of the job.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use super::ledger::Ledger;

/// Comparison of the reported outcomes with the log of the database.
#[derive(Debug)]
pub(super) struct Summary {
    acknowledged: usize,
    refused: usize,
    unknown: usize,
    found: usize,
    /// Acknowledged, but not in the log.
    lost: usize,
    /// In the log more than once.
    doubled: usize,
    /// Refused as not run or reported as rolled back, but in the log.
    falsely_refused: usize,
    misread: usize,
    primary_gap_ms: u128,
    owner_gap_ms: u128,
}

impl Summary {
    pub(super) fn new(
        ledger: &Ledger,
        logged: &[i32],
        primary_gap: Duration,
        owner_gap: Duration,
    ) -> Self {
        let mut counts: BTreeMap<i32, usize> = BTreeMap::new();
        for number in logged {
            *counts.entry(*number).or_default() += 1;
        }
        let is_found = |number: &&i32| counts.contains_key(*number);
        let found = ledger.acknowledged.iter().filter(is_found).count();
        Self {
            acknowledged: ledger.acknowledged.len(),
            refused: ledger.refused.len(),
            unknown: ledger.unknown.len(),
            found,
            lost: ledger.acknowledged.len() - found,
            doubled: counts.values().filter(|count| **count > 1).count(),
            falsely_refused: ledger.refused.iter().filter(is_found).count(),
            misread: ledger.misread.len(),
            primary_gap_ms: primary_gap.as_millis(),
            owner_gap_ms: owner_gap.as_millis(),
        }
    }

    /// Whether no answer was wrong.
    pub(super) fn is_correct(&self) -> bool {
        self.lost + self.doubled + self.falsely_refused + self.misread == 0
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "summary:")?;
        writeln!(f, "  writes acknowledged:               {}", self.acknowledged)?;
        writeln!(f, "  of these found in the log:         {}", self.found)?;
        writeln!(f, "  lost:                              {}", self.lost)?;
        writeln!(f, "  doubled:                           {}", self.doubled)?;
        writeln!(f, "  refused as not run or rolled back: {}", self.refused)?;
        writeln!(f, "  refused, but found in the log:     {}", self.falsely_refused)?;
        writeln!(f, "  reported as outcome unknown:       {}", self.unknown)?;
        writeln!(f, "  wrong reads:                       {}", self.misread)?;
        writeln!(f, "  gap, primary killed:               {} ms", self.primary_gap_ms)?;
        write!(f, "  gap, owning proxy killed:          {} ms", self.owner_gap_ms)
    }
}
