//! Resolves the outcome of a promotion call whose response was lost.

use super::fencing;
use crate::control::tables::{Phase, Tables};
use crate::{DatabaseId, InstanceId};

/// Time without a response after which the instance is excluded and fencing starts again under the
/// next term.
const RESOLVE_TIMEOUT_US: u64 = 600_000;
/// Consecutive refused or broken connections after which the instance is excluded.
const CONNECTION_LOSS_THRESHOLD: u32 = 3;

pub(crate) fn run(tables: &mut Tables) {
    for database in tables.due_owned.clone() {
        let Some(owned) = tables.owned.get(&database) else { continue };
        if let Phase::Resolving { index, since_us } = owned.phase {
            resolve(tables, database, index, since_us);
        }
    }
}

fn resolve(tables: &mut Tables, database: DatabaseId, index: u8, since_us: u64) {
    let now_us = tables.now_us;
    let instance = InstanceId { database, index };
    let Some(owned) = tables.owned.get_mut(&database) else { return };
    let state = &owned.instances[usize::from(index)];
    if state.report_sent_us >= since_us && state.is_responsive() {
        if state.is_primary_of(owned.term) {
            fencing::open(tables, instance);
            return;
        }
        // The call was lost or is still on its way. Promotion is idempotent for the same instance
        // and term, so it can be sent again.
        fencing::promote(tables, instance);
        return;
    }
    let is_unanswered = now_us >= since_us + RESOLVE_TIMEOUT_US;
    if is_unanswered || state.connection_losses >= CONNECTION_LOSS_THRESHOLD {
        owned.excluded = Some(index);
        owned.begin_next_term(owned.term, now_us);
        return;
    }
    tables.timers.owned.set_if_earlier(database, since_us + RESOLVE_TIMEOUT_US);
}
