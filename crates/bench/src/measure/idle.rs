//! Memory and CPU time of a proxy whose callers are idle.

use std::time::Duration;

use crate::arguments::Arguments;
use crate::bench_error::BenchError;
use crate::fleet::{Fleet, Proxy};
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
    let length_ms = arguments.idle_ms;
    let mut rows = vec![row(owner.process(), 0, "idle", length_ms)?];
    let mut sessions = Vec::new();
    for &count in &arguments.idle_callers {
        let cpu_us = per_caller_us(owner, &mut sessions, open_up_to(owner, usize::from(count)))?;
        rows.push(row(owner.process(), sessions.len(), "idle", length_ms)?.with_cpu(cpu_us));
    }
    let cpu_us = per_caller_us(owner, &mut sessions, run_one_each)?;
    let state = "idle after 1 statement each";
    rows.push(row(owner.process(), sessions.len(), state, length_ms)?.with_cpu(cpu_us));
    Ok(rows)
}

/// CPU time of the traffic thread for a step, in microseconds for each caller that it concerned.
fn per_caller_us(
    owner: &Proxy,
    sessions: &mut Vec<Session>,
    step: impl FnOnce(&mut Vec<Session>) -> Result<usize, BenchError>,
) -> Result<f64, BenchError> {
    let before = usage(owner.process(), "traffic-")?;
    let count = step(sessions)?;
    let cpu = usage(owner.process(), "traffic-")?.since(before);
    Ok(cpu.cpu_s() * 1e6 / count.max(1) as f64)
}

fn open_up_to(
    owner: &Proxy,
    count: usize,
) -> impl FnOnce(&mut Vec<Session>) -> Result<usize, BenchError> {
    move |sessions| {
        let before = sessions.len();
        while sessions.len() < count {
            interrupt::check()?;
            sessions.push(Session::open(owner.callers, SessionOptions::default())?);
        }
        Ok(sessions.len() - before)
    }
}

fn run_one_each(sessions: &mut Vec<Session>) -> Result<usize, BenchError> {
    for session in &mut *sessions {
        interrupt::check()?;
        session.run_text("SELECT amount FROM payments WHERE id = 1")?;
    }
    Ok(sessions.len())
}

fn usage(process: u32, threads: &str) -> Result<Usage, BenchError> {
    Usage::of_threads(process, threads).map_err(BenchError::io("read the usage"))
}

fn row(
    process: u32,
    callers: usize,
    state: &'static str,
    length_ms: u64,
) -> Result<IdleRow, BenchError> {
    interrupt::sleep(SETTLING)?;
    let read =
        |prefix| Usage::of_threads(process, prefix).map_err(BenchError::io("read the usage"));
    let (all, traffic) = (read("")?, read("traffic-")?);
    interrupt::sleep(Duration::from_millis(length_ms))?;
    let (all, traffic) = (read("")?.since(all), read("traffic-")?.since(traffic));
    let resident_kib = resident_kib(process).map_err(BenchError::io("read the memory"))?;
    let before_us = None;
    Ok(IdleRow { callers, state, before_us, length_ms, resident_kib, all, traffic })
}
