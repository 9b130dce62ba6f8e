//! Latency of one caller.

use std::time::Instant;

use hdrhistogram::Histogram;

use super::{Path, histogram};
use crate::bench_error::BenchError;
use crate::interrupt;
use crate::load::Session;
use crate::report::LatencyRow;
use crate::statement::Statement;

/// Rounds in which the ways take turns, so that other load on the machine hits all of them alike.
const ROUNDS: u32 = 8;
/// Statements that open connections and fill caches before the first round.
const WARM_UP: u32 = 200;

/// Measures a statement over all ways, the first being the direct one.
pub(crate) fn latency(
    paths: &[Path],
    statement: Statement,
    count: u32,
) -> Result<Vec<LatencyRow>, BenchError> {
    let messages = statement.messages().map_err(BenchError::io("encode a statement"))?;
    let mut ways = Vec::new();
    for path in paths.iter().filter(|path| statement != Statement::Insert || !path.is_stale()) {
        let mut session = open(path, statement)?;
        round(&mut session, &messages, WARM_UP, &mut histogram())?;
        ways.push((path, session, histogram()));
    }
    for _ in 0..ROUNDS {
        for (_, session, latency_ns) in &mut ways {
            round(session, &messages, count.div_ceil(ROUNDS), latency_ns)?;
        }
    }
    let direct_ns = ways[0].2.value_at_quantile(0.5);
    Ok(ways
        .iter()
        .map(|(path, _, latency_ns)| LatencyRow::new(statement, path.kind, latency_ns, direct_ns))
        .collect())
}

fn open(path: &Path, statement: Statement) -> Result<Session, BenchError> {
    let mut session = Session::open(path.address, path.options)?;
    let preparation = statement.preparation().map_err(BenchError::io("encode a statement"))?;
    if !preparation.is_empty() {
        session.exchange("a preparation", &preparation)?;
    }
    Ok(session)
}

fn round(
    session: &mut Session,
    messages: &[u8],
    count: u32,
    latency_ns: &mut Histogram<u64>,
) -> Result<(), BenchError> {
    for _ in 0..count {
        interrupt::check()?;
        let sent_at = Instant::now();
        session.exchange("a statement", messages)?;
        latency_ns.saturating_record(sent_at.elapsed().as_nanos() as u64);
    }
    Ok(())
}
