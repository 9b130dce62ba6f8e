//! A relay on loopback that delays, cuts, silences or resets the connections that pass it.

use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// Time after which a relay looks again at what it should do.
const LOOK: Duration = Duration::from_millis(10);
/// Delay of each piece of data.
const DELAY: Duration = Duration::from_millis(40);

/// What a relay does to the data that pass it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RelayMode {
    /// Passes them on.
    Pass,
    /// Passes them on late.
    Delay,
    /// Holds what callers of the relay send until the mode changes.
    CutForth,
    /// Holds what is sent back until the mode changes.
    CutBack,
    /// Holds both, and opens no new connection.
    Silent,
}

/// Which way data pass.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Way {
    Forth,
    Back,
}

struct Shared {
    target: SocketAddr,
    mode: Mutex<RelayMode>,
    /// Rises when all connections are to be closed.
    generation: AtomicU64,
    listener: Mutex<Option<TcpListener>>,
}

/// A relay; its threads end with the test.
pub struct Relay {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Relay {
    pub fn start(target: SocketAddr) -> Self {
        let listener = listen(0);
        let address = listener.local_addr().expect("an address");
        let shared = Arc::new(Shared {
            target,
            mode: Mutex::new(RelayMode::Pass),
            generation: AtomicU64::new(0),
            listener: Mutex::new(Some(listener)),
        });
        let accepting = Arc::clone(&shared);
        thread::spawn(move || accept(&accepting));
        Self { address, shared }
    }

    pub fn set_mode(&self, mode: RelayMode) {
        *lock(&self.shared.mode) = mode;
    }

    /// Closes every connection.
    pub fn reset(&self) {
        self.shared.generation.fetch_add(1, Ordering::Relaxed);
    }

    /// Closes the port and every connection, as the end of the process behind it does.
    pub fn close(&self) {
        *lock(&self.shared.listener) = None;
        self.reset();
    }

    /// Opens the port again.
    pub fn open(&self) {
        let mut listener = lock(&self.shared.listener);
        if listener.is_none() {
            *listener = Some(listen(self.address.port()));
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.close();
    }
}

fn listen(port: u16) -> TcpListener {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, port)).expect("a free port");
    listener.set_nonblocking(true).expect("a listener that does not block");
    listener
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Accepts until nobody else holds the relay.
fn accept(shared: &Arc<Shared>) {
    while Arc::strong_count(shared) > 1 {
        let is_silent = *lock(&shared.mode) == RelayMode::Silent;
        let accepted = match &*lock(&shared.listener) {
            Some(listener) if !is_silent => listener.accept().ok(),
            _ => None,
        };
        match accepted {
            Some((near, _)) => relay(near, shared),
            None => thread::sleep(LOOK),
        }
    }
}

fn relay(near: TcpStream, shared: &Arc<Shared>) {
    let connect = || -> io::Result<_> {
        near.set_nonblocking(false)?;
        let far = TcpStream::connect(shared.target)?;
        far.set_nodelay(true)?;
        near.set_nodelay(true)?;
        Ok((near.try_clone()?, far.try_clone()?, far))
    };
    // A connection that cannot be relayed is closed.
    let Ok((near_reader, far_reader, far)) = connect() else { return };
    let (forth, back) = (Arc::clone(shared), Arc::clone(shared));
    thread::spawn(move || pump(near_reader, far, Way::Forth, &forth));
    thread::spawn(move || pump(far_reader, near, Way::Back, &back));
}

/// Passes data on until either side ends or the connection is reset.
fn pump(mut from: TcpStream, mut to: TcpStream, way: Way, shared: &Shared) {
    let generation = shared.generation.load(Ordering::Relaxed);
    let is_reset = || shared.generation.load(Ordering::Relaxed) != generation;
    let mut buffer = [0; 16 * 1024];
    // Without a timeout a reset would wait for the next data.
    let _ = from.set_read_timeout(Some(LOOK));
    while !is_reset() {
        let count = match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => count,
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock) => continue,
            Err(_) => break,
        };
        while is_held(*lock(&shared.mode), way) && !is_reset() {
            thread::sleep(LOOK);
        }
        if *lock(&shared.mode) == RelayMode::Delay {
            thread::sleep(DELAY);
        }
        if is_reset() || to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}

fn is_held(mode: RelayMode, way: Way) -> bool {
    match mode {
        RelayMode::Pass | RelayMode::Delay => false,
        RelayMode::CutForth => way == Way::Forth,
        RelayMode::CutBack => way == Way::Back,
        RelayMode::Silent => true,
    }
}
