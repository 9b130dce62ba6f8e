//! Log lines for decisions that touch requests.

use flamingorock_pool::traffic::{Decision, DecisionKind};

/// Lines a second that are written at most. A refused request takes one line, so that a flood of
/// refusals would otherwise be a flood of lines.
const LINES_PER_S: u64 = 200;
const MICROSECONDS_PER_SECOND: u64 = 1_000_000;

/// Writes decisions, within a bound.
#[derive(Debug, Default)]
pub struct DecisionLog {
    second: u64,
    lines: u64,
    suppressed: u64,
}

impl DecisionLog {
    /// Writes a line for a decision, unless the lines of this second are used up.
    pub fn write(&mut self, decision: &Decision, now_us: u64) {
        let second = now_us / MICROSECONDS_PER_SECOND;
        if second != self.second {
            self.start_second(second);
        }
        self.lines += 1;
        if self.lines > LINES_PER_S {
            self.suppressed += 1;
            return;
        }
        let kind = match decision.kind {
            DecisionKind::Refused => "refused",
            DecisionKind::Retried => "retried",
            DecisionKind::Failed => "failed",
        };
        tracing::info!(
            event = kind,
            request = %text(&decision.request),
            database = %text(&decision.database),
            instance = %text(&decision.instance_id),
            code = decision.code.map(tracing::field::display),
            reason = decision.reason,
            age_us = decision.age_us,
            term = decision.term.0,
            position = decision.position.map(tracing::field::display),
            view = decision.view,
        );
    }

    fn start_second(&mut self, second: u64) {
        if self.suppressed > 0 {
            tracing::info!(event = "decisions_not_logged", count = self.suppressed);
        }
        self.second = second;
        self.lines = 0;
        self.suppressed = 0;
    }
}

fn text(bytes: &[u8]) -> std::borrow::Cow<'_, str> {
    String::from_utf8_lossy(bytes)
}
