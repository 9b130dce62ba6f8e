//! Ports for processes that tests start.

use std::collections::BTreeSet;
use std::net::TcpListener;

use flamingorock_standin::{free_port, reservation_address};

/// Guards against two test processes that start a proxy on the same port: one checked it and let go
/// of it, the other found it free before the first one's proxy had opened it.
#[test]
fn free_port_is_reserved_until_the_process_ends() {
    let ports: BTreeSet<u16> = (0..50).map(|_| free_port()).collect();
    assert_eq!(ports.len(), 50);
    for port in ports {
        assert!(TcpListener::bind(reservation_address(port)).is_err(), "port {port} is not held");
    }
}
