//! Latency of statements with a single caller.

use std::time::Instant;

use hdrhistogram::Histogram;

use super::{Path, histogram};
use crate::bench_error::BenchError;
use crate::interrupt;
use crate::load::Session;
use crate::report::LatencyRow;
use crate::statement::Statement;

/// Rounds in which the paths are measured in turn, so that other load on the machine affects all of
/// them alike.
const ROUNDS: u32 = 8;
/// Statements before the first round, which open connections and fill caches.
const WARM_UP_STATEMENTS: u32 = 200;

/// Measures a statement over all paths. The first path must be the direct one, because the added
/// latency of the others is relative to it. Writes are left out on paths with stale reads, which
/// affect reads only.
pub(crate) fn latency(
    paths: &[Path],
    statement: Statement,
    count: u32,
) -> Result<Vec<LatencyRow>, BenchError> {
    let messages = statement.messages().map_err(BenchError::io("encode a statement"))?;
    let mut series = Vec::new();
    for path in
        paths.iter().filter(|path| statement != Statement::Insert || !path.allows_stale_reads())
    {
        let mut session = open_session(path, statement)?;
        run_round(&mut session, &messages, WARM_UP_STATEMENTS, &mut histogram())?;
        series.push((path, session, histogram()));
    }
    for _ in 0..ROUNDS {
        for (_, session, latency_ns) in &mut series {
            run_round(session, &messages, count.div_ceil(ROUNDS), latency_ns)?;
        }
    }
    let direct_ns = series[0].2.value_at_quantile(0.5);
    Ok(series
        .iter()
        .map(|(path, _, latency_ns)| LatencyRow::new(statement, path.kind, latency_ns, direct_ns))
        .collect())
}

fn open_session(path: &Path, statement: Statement) -> Result<Session, BenchError> {
    let mut session = Session::open(path.address, path.options)?;
    let preparation = statement.preparation().map_err(BenchError::io("encode a statement"))?;
    if !preparation.is_empty() {
        session.exchange("preparing a statement", &preparation)?;
    }
    Ok(session)
}

fn run_round(
    session: &mut Session,
    messages: &[u8],
    count: u32,
    latency_ns: &mut Histogram<u64>,
) -> Result<(), BenchError> {
    for _ in 0..count {
        interrupt::check()?;
        let sent_at = Instant::now();
        session.exchange("running a statement", messages)?;
        latency_ns.saturating_record(sent_at.elapsed().as_nanos() as u64);
    }
    Ok(())
}
