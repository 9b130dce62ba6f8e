//! Owner side: detection of quiescent databases before a handover.

use crate::traffic::tables::Tables;
use crate::traffic::{Action, DispatchPolicy};

/// Reports each database that admits no requests once when nothing runs or waits for a confirmation
/// in it and no transaction is open.
pub(crate) fn report_quiescence<P: DispatchPolicy>(tables: &mut Tables<P>) {
    for database in tables.databases.values_mut() {
        let is_quiescent = !database.served.admits && database.is_quiescent();
        if is_quiescent && !database.reported_quiescent {
            let epoch = database.served.term.epoch();
            tables.actions.push(Action::ReportQuiescent { database: database.id, epoch });
        }
        database.reported_quiescent = is_quiescent;
    }
}
