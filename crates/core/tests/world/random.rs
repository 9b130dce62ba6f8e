//! A seeded random number generator that makes each run reproducible.

/// SplitMix64 generator.
#[derive(Clone, Debug)]
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(seed)
    }

    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Returns a number in `0..bound`.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }

    /// Returns `true` with the given probability in percent.
    pub fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }

    /// Returns an exponentially distributed number.
    pub fn exponential(&mut self, mean: u64) -> u64 {
        let unit = (self.next() >> 11) as f64 / (1u64 << 53) as f64;
        (-(1.0 - unit).ln() * mean as f64) as u64
    }
}
