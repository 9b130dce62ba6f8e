//! Closes sessions while the process shuts down.

use super::super::session::{Session, Transaction};
use super::super::tables::Tables;
use super::super::{Action, Report};
use super::completion;
use crate::SessionKey;

pub fn run(tables: &mut Tables, now_us: u64) {
    let Some(shutdown) = tables.shutdown else { return };
    if now_us < shutdown.close_idle_us {
        return;
    }
    let aborts = now_us >= shutdown.abort_us;
    let done = tables.sessions.keys_where(|session| may_close(session, aborts));
    for key in done {
        close(tables, key, now_us);
    }
    if tables.sessions.is_empty() && !shutdown.reported {
        tables.shutdown = Some(super::super::tables::Shutdown { reported: true, ..shutdown });
        tables.reports.push(Report::Stopped);
    }
}

/// Whether the session is between transactions, or its transaction has had its time and no
/// statement is running.
fn may_close(session: &Session, aborts: bool) -> bool {
    let is_between = matches!(session.transaction, Transaction::None);
    session.request.is_none() && (is_between || aborts)
}

fn close(tables: &mut Tables, key: SessionKey, now_us: u64) {
    completion::release_session(tables, key, now_us);
    tables.sessions.remove(key);
    tables.actions.push(Action::CloseSession { session: key });
}
