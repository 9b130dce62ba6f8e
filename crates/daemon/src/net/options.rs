//! Creation of sockets.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use mio::net::{TcpListener, TcpStream, UdpSocket};
use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};

const BACKLOG: i32 = 1024;

/// Silence of another proxy or a backend server after which the kernel gives a connection up. Long
/// enough for a lost packet or two to be sent again; the machines' own deadlines are shorter.
pub const PEER_TCP_TIMEOUT: Duration = Duration::from_secs(3);

/// Silence of a caller after which the kernel gives its connection up. Callers are on phones whose
/// network is away for seconds.
pub const CALLER_TCP_TIMEOUT: Duration = Duration::from_secs(30);

/// Opens a listener. Each traffic thread has one of its own on the same address; the kernel spreads
/// the connections over them.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket =
        Socket::new(Domain::for_address(address), Type::STREAM.nonblocking(), Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(TcpListener::from_std(socket.into()))
}

/// Opens a UDP socket.
pub fn bind_udp(address: SocketAddr) -> io::Result<UdpSocket> {
    UdpSocket::bind(address)
}

/// Starts to connect. The outcome is known when the socket becomes writable.
pub fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address)?;
    set_stream_options(&stream, PEER_TCP_TIMEOUT)?;
    Ok(stream)
}

/// Sets the options of a connection whose peer may be silent for `silence`. Answers are written
/// whole, so that delaying small segments would only add latency.
pub fn set_stream_options(stream: &TcpStream, silence: Duration) -> io::Result<()> {
    const KEEPALIVE_PROBES: u32 = 3;
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(silence))?;
    let interval = silence / KEEPALIVE_PROBES;
    let keepalive = TcpKeepalive::new()
        .with_time(interval)
        .with_interval(interval)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)
}
