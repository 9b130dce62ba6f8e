//! Traffic threads. Each runs a traffic state machine and serves the sockets of callers, backend
//! servers and other proxies.

mod backends;
mod callers;
mod cancel_keys;
mod cancels;
mod parts;
mod perform;
mod router;
mod socket_events;
mod statistics;
mod thread;

use flamingorock_core::InstanceId;
use flamingorock_core::traffic::{Event, ProbeFailure, Traffic};

use crate::machine_driver::MachineDriver;
use crate::monitors::InstanceCallResult;

pub use backends::Backends;
pub use callers::Callers;
pub use cancel_keys::CancelKeys;
pub use cancels::Cancels;
pub use parts::TrafficParts;
pub use router::Router;
pub use statistics::Statistics;
pub use thread::TrafficThread;

/// Identifies a probe among the calls of the monitor connections: instance and number of the probe.
type ProbeTag = (InstanceId, u64);

/// Reported for a probe of an instance that is no longer in the configuration.
const NOT_CONFIGURED: ProbeFailure = ProbeFailure::ConnectionLost;

/// Passes the result of a probe to the state machine.
fn push_probe_result(
    machine: &mut MachineDriver<Traffic>,
    tag: ProbeTag,
    result: InstanceCallResult,
) {
    let (instance, probe_number) = tag;
    machine.push(Event::Probed { instance, probe_number, result });
}
