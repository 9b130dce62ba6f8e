//! Dispatch of events to the systems that handle them.

use super::{callers, completion, connecting, owner_loss, probing, receiving, reconfiguration};
use crate::traffic::tables::Tables;
use crate::traffic::{DispatchPolicy, Event};

/// Passes an event to the system that handles it.
pub(crate) fn handle_event<P: DispatchPolicy>(tables: &mut Tables<P>, event: Event) {
    match event {
        Event::ViewChanged(view) => reconfiguration::apply_view(tables, view),
        Event::RequestReceived { caller, request } => {
            callers::accept_request(tables, caller, request);
        }
        Event::CancelRequested { caller } => callers::cancel_request(tables, caller),
        Event::CallerClosed { caller } => callers::close_caller(tables, caller),
        Event::MessageReceived { from, message } => tables.inbound.push_back((from, message)),
        Event::SendFailed { host, request } => {
            owner_loss::record_send_failure(tables, host, request);
        }
        Event::LinkLost { host } => {
            owner_loss::record_link_loss(tables, host);
            receiving::handle_origin_loss(tables, host);
        }
        Event::ConnectionOpened { connection } => connecting::record_opened(tables, connection),
        Event::ConnectionLost { connection, reason } => {
            completion::record_loss(tables, connection, reason);
        }
        Event::ConnectionReset { connection } => connecting::record_reset(tables, connection),
        Event::BackendResponded { connection, work, response, status, failed } => {
            let response = completion::BackendResponse { response, status, failed };
            completion::record_response(tables, connection, work, response);
        }
        Event::Probed { instance, probe_number, result } => {
            probing::record_probe(tables, instance, probe_number, result);
        }
    }
}
