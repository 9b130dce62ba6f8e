//! Rendezvous hashing: proxies agree on a choice without communicating.

use bytes::Bytes;

/// Weight of a node for a key: FNV-1a over both names. Every proxy computes the same value.
#[must_use]
pub fn weight(key: &Bytes, node: &Bytes) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    key.iter()
        .chain(node.iter())
        .fold(OFFSET, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(PRIME))
}

/// Whether a node is selected for a key. On average, `selected` of `total` nodes are.
#[must_use]
pub fn is_selected(key: &Bytes, node: &Bytes, selected: u32, total: u32) -> bool {
    // Uses the upper half of the hash because FNV mixes the lower bits less well.
    (weight(key, node) >> 32) % u64::from(total.max(1)) < u64::from(selected)
}
