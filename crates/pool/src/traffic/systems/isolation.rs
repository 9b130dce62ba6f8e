//! Sends callers elsewhere while this proxy has lost contact with the others.
//!
//! Answers the load of a proxy that is cut off with its callers: it may use no primary, its callers
//! keep their sessions, and every statement would be refused until the cut heals. A caller whose
//! session is closed between two operations reconnects, through the balancer, to another proxy.

use super::super::Action;
use super::super::session::{Session, Transaction};
use super::super::tables::Tables;

pub fn run(tables: &mut Tables, now_us: u64) {
    if !tables.has_expired_permit(now_us) {
        return;
    }
    for key in tables.sessions.keys_where(is_idle) {
        tables.sessions.remove(key);
        tables.actions.push(Action::CloseSession { session: key });
    }
}

fn is_idle(session: &Session) -> bool {
    session.is_accepted && session.request.is_none() && session.transaction == Transaction::None
}
