//! Keeps the ownership records of owned databases up to date.

use crate::DatabaseId;
use crate::control::StoreOperation;
use crate::control::tables::Tables;

/// Time for which a standby stays in the record after it became ineligible. A short loss of
/// heartbeats would otherwise cost two writes.
const STANDBY_REPLACE_DELAY_US: u64 = 1_000_000;

pub(crate) fn run(tables: &mut Tables) {
    for database in tables.due_owned.clone() {
        check_standby(tables, database);
        if !needs_write(tables, database) {
            continue;
        }
        let route = tables.routes.get_mut(&database).expect("owned databases have a route");
        if !route.has_record_call {
            route.has_record_call = true;
            tables.record_queue.push_back(StoreOperation::GetOwner { database });
            tables.timers.record.set((), tables.now_us);
        }
    }
}

/// Removes a standby that has restarted, and schedules the replacement of one that is not eligible.
fn check_standby(tables: &mut Tables, database: DatabaseId) {
    let now_us = tables.now_us;
    let Some(owned) = tables.owned.get_mut(&database) else { return };
    let Some(standby) = owned.standby else { return };
    let has_restarted =
        tables.hosts.get(standby.host).is_none_or(|row| row.incarnation != standby.incarnation);
    if has_restarted {
        owned.standby = None;
        return;
    }
    if tables.hosts.is_eligible(standby.host) {
        owned.replace_standby_at_us = None;
        return;
    }
    let due_us = *owned.replace_standby_at_us.get_or_insert(now_us + STANDBY_REPLACE_DELAY_US);
    if now_us < due_us {
        tables.timers.owned.set_if_earlier(database, due_us);
    }
}

fn needs_write(tables: &Tables, database: DatabaseId) -> bool {
    let Some(owned) = tables.owned.get(&database) else { return false };
    if !owned.record_written || owned.needs_new_epoch {
        return true;
    }
    let is_replaced = owned.replace_standby_at_us.is_some_and(|due_us| due_us <= tables.now_us);
    (owned.standby.is_none() || is_replaced) && tables.hosts.first_eligible(database).is_some()
}
