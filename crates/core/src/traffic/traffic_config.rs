//! Settings of a traffic machine.

use crate::{DatabaseId, HostId};

/// Settings of a traffic machine that do not change while the process runs.
#[derive(Clone, Debug)]
pub struct TrafficConfig {
    /// This host.
    pub host: HostId,
    /// Index of the traffic thread that the machine runs on.
    pub thread: u8,
    /// Number of traffic threads of the process.
    pub thread_count: u8,
    /// Data centre of this host.
    pub data_centre: String,
}

impl TrafficConfig {
    /// Creates the settings of the only traffic thread of a host.
    #[must_use]
    pub fn new(host: HostId, data_centre: &str) -> Self {
        Self { host, thread: 0, thread_count: 1, data_centre: data_centre.to_owned() }
    }

    /// Sets which of the process's traffic threads the machine runs on.
    #[must_use]
    pub fn thread(mut self, thread: u8, thread_count: u8) -> Self {
        self.thread = thread;
        self.thread_count = thread_count;
        self
    }

    /// Traffic thread that serves a database, on any host with as many threads.
    #[must_use]
    pub fn thread_of(&self, database: DatabaseId) -> u8 {
        let thread = database.as_u32() % u32::from(self.thread_count);
        u8::try_from(thread).expect("a remainder of a division by an 8-bit number")
    }
}
