//! Rate-limited log of decisions about requests.

use flamingorock_pool::traffic::{Decision, DecisionKind};

/// Limit of lines per second. Each refused request is logged, so that without a limit a flood of
/// refusals would flood the log too.
const MAX_LINES_PER_S: u64 = 200;
const MICROSECONDS_PER_SECOND: u64 = 1_000_000;

/// Logs decisions of the traffic state machine, at most `MAX_LINES_PER_S` per second.
#[derive(Debug, Default)]
pub struct DecisionLog {
    /// Second that is being counted, in time since the start of the process clock.
    second: u64,
    /// Decisions of this second, logged or not.
    lines: u64,
    /// Decisions of this second that were not logged.
    suppressed: u64,
}

impl DecisionLog {
    /// Logs a decision unless the limit of the current second is reached. The number of suppressed
    /// lines is logged with the first decision of a later second.
    pub fn write(&mut self, decision: &Decision, now_us: u64) {
        let second = now_us / MICROSECONDS_PER_SECOND;
        if second != self.second {
            self.start_second(second);
        }
        self.lines += 1;
        if self.lines > MAX_LINES_PER_S {
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
            request = %lossy_text(&decision.request),
            database = %lossy_text(&decision.database),
            instance = %lossy_text(&decision.instance_id),
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

fn lossy_text(bytes: &[u8]) -> std::borrow::Cow<'_, str> {
    String::from_utf8_lossy(bytes)
}
