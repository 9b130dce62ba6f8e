//! Traffic threads: the sockets of callers, backend servers and other proxies.

mod backends;
mod callers;
mod cancel_keys;
mod cancels;
mod parts;
mod perform;
mod router;
mod statistics;
mod take_socket;
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

/// Instance that is probed, and the number of the probe.
type ProbeTag = (InstanceId, u64);

/// Result of a probe of an instance that is no longer in the configuration.
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
