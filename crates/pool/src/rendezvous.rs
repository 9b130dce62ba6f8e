//! Choices that many proxies spread without talking to each other.

use bytes::Bytes;

/// Weight of a pair of names: FNV-1a over both. Each proxy computes the same.
#[must_use]
pub fn weight(first: &Bytes, second: &Bytes) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    first
        .iter()
        .chain(second.iter())
        .fold(OFFSET, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(PRIME))
}

/// Whether the weight of a pair selects it, as it does about `selected` of `total` pairs.
#[must_use]
pub fn is_selected(first: &Bytes, second: &Bytes, selected: u32, total: u32) -> bool {
    // The upper half of the hash: FNV mixes its lower bits less.
    (weight(first, second) >> 32) % u64::from(total.max(1)) < u64::from(selected)
}
