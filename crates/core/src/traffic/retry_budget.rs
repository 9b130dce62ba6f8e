//! Budget of retries.

/// Token bucket that lets retries add at most a tenth to the load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryBudget {
    tenths: u32,
}

impl RetryBudget {
    /// Tenths of a token that one retry costs.
    const COST_TENTHS: u32 = 10;
    /// Retries that may follow each other after a quiet time.
    const CAPACITY_TENTHS: u32 = 10 * Self::COST_TENTHS;

    pub(crate) fn new() -> Self {
        Self { tenths: Self::CAPACITY_TENTHS }
    }

    /// Counts a request that is not a retry.
    pub(crate) fn record_request(&mut self) {
        self.tenths = (self.tenths + 1).min(Self::CAPACITY_TENTHS);
    }

    /// Takes a token for one retry, if there is one.
    pub(crate) fn try_take(&mut self) -> bool {
        match self.tenths.checked_sub(Self::COST_TENTHS) {
            Some(rest) => {
                self.tenths = rest;
                true
            }
            None => false,
        }
    }
}
