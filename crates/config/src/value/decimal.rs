//! Decimal numbers.

use super::ValueKind;

/// A decimal number between two exclusive bounds, without sign and exponent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Decimal {
    /// Exclusive lower bound.
    pub(crate) above: f64,
    /// Exclusive upper bound.
    pub(crate) below: f64,
}

impl Decimal {
    /// Maximum number of decimal places. The canonical text prints as many, so that it parses to
    /// the same number.
    pub(crate) const MAX_DECIMALS: usize = 4;
}

impl ValueKind for Decimal {
    type Value = f64;

    fn parse(&self, text: &str) -> Option<f64> {
        // `f64::from_str` also accepts `inf`, `nan` and exponents.
        let plain = text.chars().all(|c| c.is_ascii_digit() || c == '.');
        let decimals = text.split_once('.').map_or(0, |(_, decimals)| decimals.len());
        let value: f64 = text.parse().ok().filter(|_| plain && decimals <= Self::MAX_DECIMALS)?;
        (value > self.above && value < self.below).then_some(value)
    }

    fn allowed(&self) -> String {
        format!(
            "a number above {} and below {} with at most {} decimals",
            self.above,
            self.below,
            Self::MAX_DECIMALS
        )
    }
}
