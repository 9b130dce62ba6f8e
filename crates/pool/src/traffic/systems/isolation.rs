//! Closes idle sessions while this proxy has no contact with the others.
//!
//! A proxy that is cut off from the other proxies may not use any primary, but its callers would
//! keep their sessions and have every statement refused until the network recovers. A caller whose
//! session is closed between two operations reconnects through the load balancer to another proxy.

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
