//! Unsigned integers.

use core::marker::PhantomData;

use super::ValueKind;

/// An unsigned integer from `min` to `max`, both inclusive.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Integer<T> {
    min: u64,
    max: u64,
    value: PhantomData<T>,
}

impl<T> Integer<T> {
    /// Creates a kind of value with inclusive bounds.
    pub(crate) const fn new(min: u64, max: u64) -> Self {
        Self { min, max, value: PhantomData }
    }
}

impl<T: TryFrom<u64>> ValueKind for Integer<T> {
    type Value = T;

    fn parse(&self, text: &str) -> Option<T> {
        let digits = text.bytes().all(|byte| byte.is_ascii_digit());
        let value: u64 = text.parse().ok().filter(|_| digits)?;
        (self.min <= value && value <= self.max).then(|| T::try_from(value).ok()).flatten()
    }

    fn allowed(&self) -> String {
        format!("a whole number from {} to {}", self.min, self.max)
    }
}
