//! Events of a traffic thread's sockets.

use flamingorock_core::HostId;
use flamingorock_peer::{CallerCancel, Frame, LinkPurpose};
use mio::Token;

use super::{CancelKeys, TrafficThread};
use crate::links::LinkEnd;
use crate::net::SocketTable;
use crate::thread_messages::{ControlThreadMessage, TrafficThreadMessage};

impl TrafficThread {
    pub(super) fn take_caller(&mut self, token: Token) {
        if let Some(cancel) = self.callers.ready(&mut self.io, &mut self.machine, token) {
            self.route_cancel(cancel);
        }
    }

    pub(super) fn take_incoming(&mut self, token: Token) {
        let mut frames = Vec::new();
        let deliver = |host, frame| frames.push((host, frame));
        let end = self.incoming.ready(&mut self.io, token, deliver);
        for (host, frame) in frames {
            self.take_frame(host, frame);
        }
        // Control messages are repeated by their senders, so the end of their link needs no report.
        if let Some(LinkEnd { host, purpose: LinkPurpose::Traffic { .. } }) = end {
            self.report_end(host);
        }
    }

    fn take_frame(&mut self, from: HostId, frame: Frame) {
        match frame {
            Frame::Hello(_) => {}
            Frame::Traffic(message) => self.pass_on(from, message),
            Frame::CallerCancel(cancel) => self.route_cancel(cancel),
            Frame::Control(message) => {
                // Control messages are repeated by their senders until they have had their effect.
                if !self.router.offer_to_control(ControlThreadMessage::Message { from, message }) {
                    self.io.metrics.control_messages_dropped.inc();
                }
            }
        }
    }

    /// Passes a cancel request on to the thread that issued its key, on this host or another. The
    /// links to other hosts exist anyway. If a link fails the request is lost, as it can be in
    /// PostgreSQL too; the caller then waits for its answer or the deadline.
    fn route_cancel(&mut self, cancel: CallerCancel) {
        let (host, thread) = CancelKeys::origin(&cancel);
        if host != self.config.host {
            // An unknown host means a made-up key.
            let _ = self.outgoing.send(&mut self.io, host, &cancel, None);
        } else if self.router.is_own(thread) {
            self.callers.cancel(&mut self.machine, &cancel);
        } else {
            self.router.send_to_thread(thread, TrafficThreadMessage::Cancel(cancel));
        }
    }

    /// Offers queued output to the kernel.
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
                    self.report_loss(loss);
                }
                _ => {}
            }
        }
    }
}
