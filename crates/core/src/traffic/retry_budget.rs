//! Retry budget.

/// Token bucket that limits retries to a tenth of the request rate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryBudget {
    tenths: u32,
}

impl RetryBudget {
    /// Cost of a retry in tenths of a token; each request adds one tenth.
    const COST_TENTHS: u32 = 10;
    /// Capacity of the bucket: a burst of ten retries.
    const CAPACITY_TENTHS: u32 = 10 * Self::COST_TENTHS;

    pub(crate) fn new() -> Self {
        Self { tenths: Self::CAPACITY_TENTHS }
    }

    /// Adds a tenth of a token for a request that is not a retry.
    pub(crate) fn record_request(&mut self) {
        self.tenths = (self.tenths + 1).min(Self::CAPACITY_TENTHS);
    }

    /// Takes the tokens for one retry, or returns `false` if the budget is exhausted.
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
