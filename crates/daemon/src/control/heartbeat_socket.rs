//! UDP socket for heartbeats.

use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::SocketAddr;

use bytes::BytesMut;
use flamingorock_core::HostId;
use flamingorock_core::message::Heartbeat;
use flamingorock_peer::{MAX_DATAGRAM_BYTES, decode_heartbeat, encode_heartbeat};
use mio::net::UdpSocket;

use crate::metrics::Metrics;

/// Maximum number of datagrams handled in one wake-up, so that a flood of them does not starve the
/// other sockets.
const RECEIVE_BUDGET: usize = 256;

/// UDP socket for heartbeats.
#[derive(Debug)]
pub struct HeartbeatSocket {
    socket: UdpSocket,
    addresses: BTreeMap<HostId, SocketAddr>,
    output: BytesMut,
    input: Box<[u8]>,
}

impl HeartbeatSocket {
    /// Wraps a socket. `addresses` are those of all other proxies; heartbeats of other hosts are
    /// dropped.
    #[must_use]
    pub fn new(socket: UdpSocket, addresses: BTreeMap<HostId, SocketAddr>) -> Self {
        let input = vec![0; MAX_DATAGRAM_BYTES].into_boxed_slice();
        Self { socket, addresses, output: BytesMut::new(), input }
    }

    /// The socket, for registration with the poll.
    pub fn socket_mut(&mut self) -> &mut UdpSocket {
        &mut self.socket
    }

    /// Sends a heartbeat. A datagram that cannot be sent at once is dropped, since the next
    /// heartbeat replaces it.
    pub fn send(&mut self, to: &[HostId], heartbeat: &Heartbeat, metrics: &Metrics) {
        if let Err(error) = encode_heartbeat(heartbeat, &mut self.output) {
            tracing::error!(%error, "heartbeat not sent");
            return;
        }
        for address in to.iter().filter_map(|host| self.addresses.get(host)) {
            if let Ok(count) = self.socket.send_to(&self.output, *address) {
                metrics.heartbeats_sent.inc();
                metrics.heartbeat_sent_bytes.inc_by(count as u64);
            }
        }
    }

    /// Receives heartbeats up to the budget. Returns whether more may be pending.
    pub fn receive(&mut self, metrics: &Metrics, mut deliver: impl FnMut(Heartbeat)) -> bool {
        for _ in 0..RECEIVE_BUDGET {
            match self.socket.recv_from(&mut self.input) {
                Ok((count, _)) => match decode_heartbeat(&self.input[..count]) {
                    Ok(heartbeat) if self.addresses.contains_key(&heartbeat.host) => {
                        metrics.heartbeats_received.inc();
                        deliver(heartbeat);
                    }
                    Ok(_) | Err(_) => {
                        metrics.heartbeats_malformed.inc();
                    }
                },
                Err(error) if error.kind() == ErrorKind::WouldBlock => return false,
                // The error concerns a datagram sent earlier, which the receiver's host refused
                // (ICMP port unreachable). Received datagrams may still be pending.
                Err(_) => {}
            }
        }
        true
    }
}
