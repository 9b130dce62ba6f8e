//! Memory and CPU time of a proxy whose callers are idle.

use std::time::Duration;

use crate::arguments::Arguments;
use crate::bench_error::BenchError;
use crate::fleet::{Fleet, Proxy};
use crate::interrupt;
use crate::load::{Session, SessionOptions};
use crate::process_usage::{Usage, resident_kib};
use crate::report::IdleRow;

/// Wait before each measurement. A proxy stops probing a database one second after its last request;
/// the rest is a margin.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Measures an owning proxy without callers, with each number of idle callers, and after every
/// caller has run one statement.
pub(crate) fn idle(fleet: &Fleet, arguments: &Arguments) -> Result<Vec<IdleRow>, BenchError> {
    let owner = &fleet.proxies[fleet.owner()?];
    let duration_ms = arguments.idle_ms;
    let mut rows = vec![measure_row(owner.pid(), 0, "idle", duration_ms)?];
    let mut sessions = Vec::new();
    for &count in &arguments.idle_callers {
        let cpu_us =
            cpu_per_caller_us(owner, &mut sessions, open_up_to(owner, usize::from(count)))?;
        rows.push(
            measure_row(owner.pid(), sessions.len(), "idle", duration_ms)?
                .with_cpu_per_caller(cpu_us),
        );
    }
    let cpu_us = cpu_per_caller_us(owner, &mut sessions, run_statement_each)?;
    let state = "idle after 1 statement each";
    rows.push(
        measure_row(owner.pid(), sessions.len(), state, duration_ms)?.with_cpu_per_caller(cpu_us),
    );
    Ok(rows)
}

/// Runs a step that returns how many callers it served. Returns the CPU time of the traffic thread
/// for each of them, in microseconds.
fn cpu_per_caller_us(
    owner: &Proxy,
    sessions: &mut Vec<Session>,
    step: impl FnOnce(&mut Vec<Session>) -> Result<usize, BenchError>,
) -> Result<f64, BenchError> {
    let before = usage(owner.pid(), "traffic-")?;
    let count = step(sessions)?;
    let cpu = usage(owner.pid(), "traffic-")?.since(before);
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
            sessions.push(Session::open(owner.caller_address, SessionOptions::default())?);
        }
        Ok(sessions.len() - before)
    }
}

fn run_statement_each(sessions: &mut Vec<Session>) -> Result<usize, BenchError> {
    for session in &mut *sessions {
        interrupt::check()?;
        session.run_query("SELECT amount FROM payments WHERE id = 1")?;
    }
    Ok(sessions.len())
}

fn usage(pid: u32, threads: &str) -> Result<Usage, BenchError> {
    Usage::of_threads(pid, threads).map_err(BenchError::io("read the CPU times and wake-ups"))
}

fn measure_row(
    pid: u32,
    callers: usize,
    state: &'static str,
    duration_ms: u64,
) -> Result<IdleRow, BenchError> {
    interrupt::sleep(SETTLE_TIME)?;
    let read = |prefix| {
        Usage::of_threads(pid, prefix).map_err(BenchError::io("read the CPU times and wake-ups"))
    };
    let (all, traffic) = (read("")?, read("traffic-")?);
    interrupt::sleep(Duration::from_millis(duration_ms))?;
    let (all, traffic) = (read("")?.since(all), read("traffic-")?.since(traffic));
    let resident_kib = resident_kib(pid).map_err(BenchError::io("read the resident memory"))?;
    let cpu_per_caller_us = None;
    Ok(IdleRow { callers, state, cpu_per_caller_us, duration_ms, resident_kib, all, traffic })
}
