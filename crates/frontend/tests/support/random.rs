//! Random values that are the same on every machine.

/// Xorshift generator, so that a seed gives the same bytes on every machine.
pub(crate) struct Random(u64);

impl Random {
    pub(crate) fn new(seed: u64) -> Self {
        Self(seed)
    }

    pub(crate) fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    pub(crate) fn below(&mut self, limit: usize) -> usize {
        usize::try_from(self.next() % limit as u64).expect("below a usize")
    }

    pub(crate) fn pick<'a, T: ?Sized>(&mut self, choices: &[&'a T]) -> &'a T {
        choices[self.below(choices.len())]
    }

    pub(crate) fn bytes(&mut self, limit: usize) -> Vec<u8> {
        (0..self.below(limit)).map(|_| self.next().to_le_bytes()[0]).collect()
    }
}
