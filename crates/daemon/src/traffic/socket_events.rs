//! Handles frames and cancel requests from a traffic thread's sockets, and flushes queued output.

use flamingorock_core::HostId;
use flamingorock_peer::{CallerCancel, Frame, LinkPurpose};
use mio::Token;

use super::{CancelKeys, TrafficThread};
use crate::links::ClosedLink;
use crate::net::SocketTable;
use crate::thread_messages::{ControlThreadMessage, TrafficThreadMessage};

impl TrafficThread {
    pub(super) fn handle_caller_socket(&mut self, token: Token) {
        if let Some(cancel) = self.callers.ready(&mut self.io, &mut self.machine, token) {
            self.route_cancel(cancel);
        }
    }

    pub(super) fn handle_incoming_link(&mut self, token: Token) {
        let mut frames = Vec::new();
        let deliver = |host, frame| frames.push((host, frame));
        let end = self.incoming.ready(&mut self.io, token, deliver);
        for (host, frame) in frames {
            self.handle_frame(host, frame);
        }
        // Control messages are repeated by their senders, so the loss of a link that carries them
        // is not reported.
        if let Some(ClosedLink { host, purpose: LinkPurpose::Traffic { .. } }) = end {
            self.report_closed_link(host);
        }
    }

    fn handle_frame(&mut self, from: HostId, frame: Frame) {
        match frame {
            Frame::Hello(_) => {}
            Frame::Traffic(message) => self.route_message(from, message),
            Frame::CallerCancel(cancel) => self.route_cancel(cancel),
            Frame::Control(message) => {
                // Control messages are repeated by their senders until they take effect.
                if !self.router.try_send_to_control(ControlThreadMessage::Message { from, message })
                {
                    self.io.metrics.control_messages_dropped.inc();
                }
            }
        }
    }

    /// Routes a cancel request to the thread that issued its key, on this host or another. If a
    /// link fails the request is lost, as cancel requests can be in PostgreSQL too; the caller then
    /// gets the reply, or an error at the request's deadline.
    fn route_cancel(&mut self, cancel: CallerCancel) {
        let (host, thread) = CancelKeys::issuer(&cancel);
        if host != self.config.host {
            // Sending to an unknown host fails; only a forged key names one.
            let _ = self.outgoing.send(&mut self.io, host, &cancel, None);
        } else if self.router.is_own(thread) {
            self.callers.cancel(&mut self.machine, &cancel);
        } else {
            self.router.send_to_thread(thread, TrafficThreadMessage::Cancel(cancel));
        }
    }

    /// Writes the queued output of the sockets that were marked as dirty.
    pub(super) fn flush(&mut self) {
        let dirty = core::mem::take(&mut self.io.dirty);
        for token in dirty {
            match SocketTable::of(token) {
                Some(SocketTable::Callers) => {
                    self.callers.flush(&mut self.io, &mut self.machine, token);
                }
                Some(SocketTable::Backends) => {
                    self.backends.flush(&mut self.io, &mut self.machine, token);
                }
                Some(SocketTable::OutgoingLinks) => {
                    let loss = self.outgoing.flush(&mut self.io, token);
                    self.report_lost_link(loss);
                }
                _ => {}
            }
        }
    }
}
