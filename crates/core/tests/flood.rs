//! Scheduling among ranks under overload, on virtual time.

mod flood_support;

use flamingorock_core::traffic::{FirstInFirstOut, FloorPriority, StrictPriority};
use flood_support::{Flood, Load};

/// Floors of the ranks in percent, as configured in `flood_support`.
const FLOORS_PERCENT: [u64; 3] = [40, 20, 10];

/// Guards against urgent requests that wait behind an overload of the least urgent rank. The total
/// load is ten times the capacity; 99 % of the urgent requests must still be answered.
#[test]
fn urgent_rank_is_served_in_a_flood_of_the_lowest() {
    for slots in [2, 5] {
        let results = Flood::<FloorPriority>::new(Load::flood(slots, 10, Some(2))).run();
        let urgent = &results[0];
        assert!(urgent.answered * 100 >= urgent.offered * 99, "{slots} slots: {urgent:?}");
    }
}

/// Guards against starvation of the other ranks by an overload of the most urgent rank. Each must
/// receive its floor, or all that it requests if that is less, with a tolerance of 2 % of all
/// responses.
#[test]
fn other_ranks_keep_their_floor_in_a_flood_of_the_urgent() {
    for slots in [2, 5] {
        let results = Flood::<FloorPriority>::new(Load::flood(slots, 10, Some(0))).run();
        let total: u64 = results.iter().map(|result| result.answered_under_load).sum();
        for (rank, result) in results.iter().enumerate().skip(1) {
            let floor = total * FLOORS_PERCENT[rank] / 100;
            let due = floor.min(result.offered) - total * 2 / 100;
            assert!(
                result.answered >= due,
                "{slots} slots, rank {rank}: {} < {due}",
                result.answered
            );
        }
    }
}

/// Guards against accepting requests under overload that then end with an unknown outcome or are
/// rolled back: every accepted request must be answered.
#[test]
fn accepted_requests_are_answered_in_a_flood() {
    for flooding in [0, 2] {
        let results = Flood::<FloorPriority>::new(Load::flood(2, 10, Some(flooding))).run();
        for (rank, result) in results.iter().enumerate() {
            assert_eq!(result.other, 0, "flood of rank {flooding}, rank {rank}");
        }
    }
}

/// Verifies that the checks above detect a policy without floors and a policy without priorities.
#[test]
fn baselines_fail_the_checks() {
    let strict = Flood::<StrictPriority>::new(Load::flood(2, 10, Some(0))).run();
    let total: u64 = strict.iter().map(|result| result.answered_under_load).sum();
    assert!(strict[2].answered_under_load < total * FLOORS_PERCENT[2] / 100 - total * 2 / 100);
    let fifo = Flood::<FirstInFirstOut>::new(Load::flood(2, 10, Some(2))).run();
    assert!(fifo[0].answered * 100 < fifo[0].offered * 99);
}
