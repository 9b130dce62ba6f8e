//! Memory and CPU time of a proxy whose callers are idle.

use std::time::Duration;

use crate::arguments::Arguments;
use crate::bench_error::BenchError;
use crate::fleet::Fleet;
use crate::interrupt;
use crate::load::{Session, SessionOptions};
use crate::process_usage::{Usage, resident_kib};
use crate::report::IdleRow;

/// Time after which a database without requests is no longer probed, and some more.
const SETTLING: Duration = Duration::from_secs(2);

/// Measures an owning proxy without callers, with each number of idle callers, and after each of
/// them has run one statement.
pub(crate) fn idle(fleet: &Fleet, arguments: &Arguments) -> Result<Vec<IdleRow>, BenchError> {
    let owner = &fleet.proxies[fleet.owner()?];
    let length = Duration::from_millis(arguments.idle_ms);
    let mut rows = vec![row(owner.process(), 0, "idle", length)?];
    let mut sessions = Vec::new();
    for &count in &arguments.idle_callers {
        while sessions.len() < usize::from(count) {
            interrupt::check()?;
            sessions.push(Session::open(owner.callers, SessionOptions::default())?);
        }
        rows.push(row(owner.process(), sessions.len(), "idle", length)?);
    }
    for session in &mut sessions {
        interrupt::check()?;
        session.run_text("SELECT amount FROM payments WHERE id = 1")?;
    }
    let state = "idle after 1 statement each";
    rows.push(row(owner.process(), sessions.len(), state, length)?);
    Ok(rows)
}

fn row(
    process: u32,
    callers: usize,
    state: &'static str,
    length: Duration,
) -> Result<IdleRow, BenchError> {
    interrupt::sleep(SETTLING)?;
    let read =
        |prefix| Usage::of_threads(process, prefix).map_err(BenchError::io("read the usage"));
    let (all, traffic) = (read("")?, read("traffic-")?);
    interrupt::sleep(length)?;
    let (all, traffic) = (read("")?.since(all), read("traffic-")?.since(traffic));
    let resident_kib = resident_kib(process).map_err(BenchError::io("read the memory"))?;
    Ok(IdleRow { callers, state, length, resident_kib, all, traffic })
}
