//! Static settings of a traffic machine.

use crate::{DatabaseId, HostId};

/// Settings of a traffic machine that are fixed for the lifetime of the process.
#[derive(Clone, Debug)]
pub struct TrafficConfig {
    /// Host that the process runs on.
    pub host: HostId,
    /// Index of the traffic thread that the machine runs on.
    pub thread: u8,
    /// Number of traffic threads of the process.
    pub thread_count: u8,
    /// Data centre of this host, whose replicas are preferred for reads.
    pub data_centre: String,
}

impl TrafficConfig {
    /// Creates the settings for a host with a single traffic thread.
    #[must_use]
    pub fn new(host: HostId, data_centre: &str) -> Self {
        Self { host, thread: 0, thread_count: 1, data_centre: data_centre.to_owned() }
    }

    /// Sets the index of the traffic thread and the number of traffic threads in the process.
    #[must_use]
    pub fn thread(mut self, thread: u8, thread_count: u8) -> Self {
        self.thread = thread;
        self.thread_count = thread_count;
        self
    }

    /// Traffic thread that serves a database on every host with the same number of threads.
    #[must_use]
    pub fn thread_of(&self, database: DatabaseId) -> u8 {
        let thread = database.as_u32() % u32::from(self.thread_count);
        u8::try_from(thread).expect("a remainder of a division by an 8-bit number")
    }
}
