//! Throughput of many callers.

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

/// Time for connections to be opened and queues to fill.
const WARM_UP: Duration = Duration::from_millis(500);
/// Callers up to which the direct way is measured: the stand-in has a thread for each of them.
const DIRECT_CALLERS_LIMIT: u16 = 64;
/// Start of the names of the proxies' traffic threads.
const TRAFFIC_THREADS: &str = "traffic-";

/// CPU time of all who take part.
struct Readings {
    owner: Usage,
    entry: Usage,
    generator: Usage,
    this_process: Usage,
}

impl Readings {
    fn take(owner: u32, entry: u32) -> io::Result<Self> {
        Ok(Self {
            owner: Usage::of_threads(owner, TRAFFIC_THREADS)?,
            entry: Usage::of_threads(entry, TRAFFIC_THREADS)?,
            generator: Usage::of_this_thread()?,
            this_process: Usage::of_process(process::id())?,
        })
    }
}

/// Measures a statement over one way with some number of callers; `None` if that is not done.
pub(crate) fn throughput(
    fleet: &Fleet,
    path: &Path,
    statement: Statement,
    callers: u16,
    length: Duration,
) -> Result<Option<ThroughputRow>, BenchError> {
    let is_direct = path.kind == PathKind::Direct;
    if is_direct && callers > DIRECT_CALLERS_LIMIT
        || path.is_stale() && statement == Statement::Insert
    {
        return Ok(None);
    }
    let owner = fleet.owner()?;
    let (owner, entry) = (fleet.proxies[owner].process(), fleet.proxies[1 - owner].process());
    let mut load = EventLoop::open(path.address, path.options, statement, callers)?;
    load.start()?;
    load.run(WARM_UP)?;
    let read = || Readings::take(owner, entry).map_err(BenchError::io("read the CPU times"));
    let before = read()?;
    let result = load.run(length)?;
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
