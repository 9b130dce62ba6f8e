//! Throughput with concurrent callers.

use std::io;
use std::process;
use std::time::Duration;

use super::Path;
use super::path::PathKind;
use crate::bench_error::BenchError;
use crate::fleet::Fleet;
use crate::load::EventLoop;
use crate::process_usage::Usage;
use crate::report::ThroughputRow;
use crate::statement::Statement;

/// Time before the measurement, in which connections are opened and queues fill.
const WARM_UP_TIME: Duration = Duration::from_millis(500);
/// Largest number of callers of the direct path: the stand-in runs one thread per connection.
const MAX_DIRECT_CALLERS: u16 = 64;
/// Prefix of the names of the traffic threads in a proxy.
const TRAFFIC_THREAD_PREFIX: &str = "traffic-";

/// Usage of the proxies, the load generator and the stand-ins at one time.
struct UsageSnapshot {
    owner: Usage,
    entry: Usage,
    generator: Usage,
    /// The load generator and the stand-ins, which share this process.
    this_process: Usage,
}

impl UsageSnapshot {
    fn take(owner: u32, entry: u32) -> io::Result<Self> {
        Ok(Self {
            owner: Usage::of_threads(owner, TRAFFIC_THREAD_PREFIX)?,
            entry: Usage::of_threads(entry, TRAFFIC_THREAD_PREFIX)?,
            generator: Usage::of_this_thread()?,
            this_process: Usage::of_process(process::id())?,
        })
    }
}

/// Measures a statement over one path with a number of callers. Returns `None` for a combination
/// that is not measured: too many callers on the direct path, or writes over a stale path.
pub(crate) fn throughput(
    fleet: &Fleet,
    path: &Path,
    statement: Statement,
    callers: u16,
    duration: Duration,
) -> Result<Option<ThroughputRow>, BenchError> {
    let is_direct = path.kind == PathKind::Direct;
    if is_direct && callers > MAX_DIRECT_CALLERS
        || path.allows_stale_reads() && statement == Statement::Insert
    {
        return Ok(None);
    }
    let owner = fleet.owner()?;
    let (owner, entry) = (fleet.proxies[owner].pid(), fleet.proxies[1 - owner].pid());
    let mut load = EventLoop::open(path.address, path.options, statement, callers)?;
    load.start()?;
    load.run(WARM_UP_TIME)?;
    let read = || UsageSnapshot::take(owner, entry).map_err(BenchError::io("read the CPU times"));
    let before = read()?;
    let result = load.run(duration)?;
    let after = read()?;
    let generator_s = after.generator.since(before.generator).cpu_s();
    Ok(Some(ThroughputRow {
        statement,
        path: path.kind,
        callers,
        result,
        owner_cpu_s: after.owner.since(before.owner).cpu_s(),
        entry_cpu_s: after.entry.since(before.entry).cpu_s(),
        generator_cpu_s: generator_s,
        standin_cpu_s: after.this_process.since(before.this_process).cpu_s() - generator_s,
    }))
}
