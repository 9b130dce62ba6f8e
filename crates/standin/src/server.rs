//! TCP listener with one thread per connection that can be stopped.

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};

/// Locks a mutex. A connection thread that panicked leaves the data usable: all updates made under
/// these locks are complete before any call that can panic on bytes from outside.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

#[derive(Default)]
struct Connections {
    stopped: bool,
    next_id: u64,
    streams: BTreeMap<u64, TcpStream>,
}

/// A listening port whose connections are served by one thread each until it is stopped or dropped.
pub(crate) struct Server {
    address: SocketAddr,
    connections: Arc<Mutex<Connections>>,
    accept_thread: Option<JoinHandle<()>>,
}

impl Server {
    /// Starts to accept connections. `serve` runs on a thread of its own for each connection.
    pub(crate) fn spawn<S>(listener: TcpListener, serve: S) -> io::Result<Self>
    where
        S: Fn(TcpStream) + Send + Sync + 'static,
    {
        let address = listener.local_addr()?;
        let connections = Arc::new(Mutex::new(Connections::default()));
        let (shared, serve) = (Arc::clone(&connections), Arc::new(serve));
        let accept_thread = thread::spawn(move || {
            for stream in listener.incoming() {
                match stream.and_then(|stream| register(&shared, stream)) {
                    Ok(None) => return,
                    Ok(Some((id, stream))) => spawn_connection(&shared, &serve, id, stream),
                    Err(error) => tracing::warn!(%address, %error, "failed to accept"),
                }
            }
        });
        Ok(Self { address, connections, accept_thread: Some(accept_thread) })
    }

    /// Address that the port is bound to.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Releases the port and breaks all connections.
    pub(crate) fn stop(&mut self) {
        let Some(accept_thread) = self.accept_thread.take() else { return };
        lock(&self.connections).stopped = true;
        // The accept call returns only for a connection, so this one wakes it up.
        let mut address = self.address;
        if address.ip().is_unspecified() {
            address.set_ip(Ipv4Addr::LOCALHOST.into());
        }
        if TcpStream::connect(address).is_ok() {
            let _ = accept_thread.join();
        }
        for stream in lock(&self.connections).streams.values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Adds a connection to the table, or returns `None` when the server has been stopped.
fn register(
    connections: &Mutex<Connections>,
    stream: TcpStream,
) -> io::Result<Option<(u64, TcpStream)>> {
    let mut connections = lock(connections);
    if connections.stopped {
        return Ok(None);
    }
    stream.set_nodelay(true)?;
    connections.next_id += 1;
    let id = connections.next_id;
    connections.streams.insert(id, stream.try_clone()?);
    Ok(Some((id, stream)))
}

fn spawn_connection<S>(
    connections: &Arc<Mutex<Connections>>,
    serve: &Arc<S>,
    id: u64,
    stream: TcpStream,
) where
    S: Fn(TcpStream) + Send + Sync + 'static,
{
    let registration = Registration { connections: Arc::clone(connections), id };
    let serve = Arc::clone(serve);
    thread::spawn(move || {
        let _registration = registration;
        serve(stream);
    });
}

/// Removes a connection from the table and closes it, even if its thread panics.
struct Registration {
    connections: Arc<Mutex<Connections>>,
    id: u64,
}

impl Drop for Registration {
    fn drop(&mut self) {
        if let Some(stream) = lock(&self.connections).streams.remove(&self.id) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}
