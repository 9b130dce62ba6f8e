//! Creation and options of sockets.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use mio::net::{TcpListener, TcpStream, UdpSocket};
use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};

/// Connections that the kernel holds for a listener until they are accepted.
const BACKLOG: i32 = 1024;

/// Time without a response from another proxy or a backend server after which the kernel closes the
/// connection. Long enough to retransmit a lost packet once or twice; the state machines' own
/// deadlines are shorter.
pub const PEER_TCP_TIMEOUT: Duration = Duration::from_secs(3);

/// Time without a response from a caller after which the kernel closes its connection. Longer than
/// for peers, because callers are on phones that lose their network for seconds at a time.
pub const CALLER_TCP_TIMEOUT: Duration = Duration::from_secs(30);

/// Opens a listener with `SO_REUSEPORT`. Each traffic thread has its own listener on the same
/// address, and the kernel distributes the connections among them.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket =
        Socket::new(Domain::for_address(address), Type::STREAM.nonblocking(), Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(TcpListener::from_std(socket.into()))
}

/// Opens a non-blocking UDP socket.
pub fn bind_udp(address: SocketAddr) -> io::Result<UdpSocket> {
    UdpSocket::bind(address)
}

/// Starts a non-blocking connect. It has succeeded or failed when the poll reports the socket, see
/// [`is_connected`](super::is_connected).
pub fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address)?;
    set_stream_options(&stream, PEER_TCP_TIMEOUT)?;
    Ok(stream)
}

/// Sets the options of a connection: the kernel closes it after `timeout` without a response from
/// the peer. Nagle's algorithm is off: messages are written whole, so it would only add latency.
pub fn set_stream_options(stream: &TcpStream, timeout: Duration) -> io::Result<()> {
    const KEEPALIVE_PROBES: u32 = 3;
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(timeout))?;
    let interval = timeout / KEEPALIVE_PROBES;
    let keepalive = TcpKeepalive::new()
        .with_time(interval)
        .with_interval(interval)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)
}
