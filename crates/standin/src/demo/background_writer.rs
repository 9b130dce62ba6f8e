//! Writes that go on while something fails.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};

use super::DemoError;
use super::ledger::Ledger;

/// Distance between the first invoice numbers of the writers, and from those of the foreground; far
/// above the number of invoices that one writer sends.
const NUMBERS: i32 = 1_000_000;

/// A thread that sends invoices through the proxies in turn, each once and over a connection of its
/// own, so that writes are under way at the time of a failure.
pub(super) struct BackgroundWriter {
    stopped: Arc<AtomicBool>,
    thread: JoinHandle<Ledger>,
}

impl BackgroundWriter {
    /// Starts writer number `index`, counted from 1.
    pub(super) fn start(index: i32, urls: Vec<String>) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let flag = Arc::clone(&stopped);
        let thread = thread::spawn(move || {
            let mut ledger = Ledger::new(index * NUMBERS);
            for url in urls.iter().cycle() {
                if flag.load(Ordering::Relaxed) {
                    break;
                }
                // The ledger keeps the outcome; the next invoice has another number.
                let _ = ledger.write(url);
            }
            ledger
        });
        Self { stopped, thread }
    }

    /// Waits for the write under way and returns the outcomes.
    pub(super) fn stop(self) -> Result<Ledger, DemoError> {
        self.stopped.store(true, Ordering::Relaxed);
        self.thread.join().map_err(|_| DemoError::Incorrect)
    }
}
