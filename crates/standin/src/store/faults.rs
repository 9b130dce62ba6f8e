//! Fault switches and call counts of the key-value service.

use std::collections::BTreeMap;
use std::str::FromStr;
use std::time::{Duration, Instant};

use serde_json::json;

use super::error::StoreError;
use crate::http::Reply;

/// How requests fail during an outage.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Outage {
    #[default]
    None,
    /// The connection stays open without an answer.
    Withheld,
    /// Every answer is a status 500.
    Errors,
}

#[derive(Debug, Default)]
pub(super) struct StoreFaults {
    /// Delay of each call before it takes effect.
    pub(super) latency_ms: u64,
    /// Reads return the state before the last change of a key.
    pub(super) stale_reads: bool,
    outage: Outage,
    /// Writes that are still to take effect without an answer.
    lose_answers: u64,
    /// The only key whose writes lose their answers; empty for writes of all keys.
    lose_answers_of: String,
    rate_limit_per_s: u64,
    /// Start of the second whose calls are counted against the limit, and their number.
    rate_window: Option<(Instant, u64)>,
}

impl StoreFaults {
    /// Sets the faults that a query string names.
    pub(super) fn set(&mut self, query: &BTreeMap<String, String>) -> Result<(), StoreError> {
        for (name, value) in query {
            match name.as_str() {
                "latency_ms" => self.latency_ms = parse(name, value)?,
                "stale_reads" => self.stale_reads = parse(name, value)?,
                "lose_answers" => self.lose_answers = parse(name, value)?,
                "lose_answers_of" => self.lose_answers_of.clone_from(value),
                "rate_limit_per_s" => {
                    self.rate_limit_per_s = parse(name, value)?;
                    self.rate_window = None;
                }
                "outage" => {
                    self.outage = match value.as_str() {
                        "true" => Outage::Withheld,
                        "errors" => Outage::Errors,
                        "false" => Outage::None,
                        _ => return Err(StoreError::value(name, value)),
                    }
                }
                _ => return Err(StoreError::UnknownFault(name.clone())),
            }
        }
        Ok(())
    }

    pub(super) fn is_out(&self) -> bool {
        self.outage != Outage::None
    }

    pub(super) fn refuse_outage(&self) -> Reply {
        match self.outage {
            Outage::Errors => Reply::text(500, "outage"),
            _ => Reply::Withhold,
        }
    }

    /// Reply to a call that the faults keep from being handled.
    pub(super) fn refuse(&mut self) -> Option<Reply> {
        if self.is_out() {
            return Some(self.refuse_outage());
        }
        if self.rate_limit_per_s == 0 {
            return None;
        }
        let now = Instant::now();
        let window = self.rate_window.get_or_insert((now, 0));
        if now.duration_since(window.0) >= Duration::from_secs(1) {
            *window = (now, 0);
        }
        window.1 += 1;
        (window.1 > self.rate_limit_per_s).then(|| Reply::text(429, "rate limit exceeded"))
    }

    /// Replaces the answer to a write of a key, or of a session, that is to be lost.
    pub(super) fn lose(&mut self, key: Option<&str>, reply: Reply) -> Reply {
        let is_other = !self.lose_answers_of.is_empty() && key != Some(&self.lose_answers_of);
        if self.lose_answers == 0 || is_other {
            return reply;
        }
        self.lose_answers -= 1;
        Reply::Close
    }
}

fn parse<T: FromStr>(name: &str, value: &str) -> Result<T, StoreError> {
    value.parse().map_err(|_| StoreError::value(name, value))
}

/// Calls since the start, refused ones included.
#[derive(Debug, Default)]
pub(super) struct Calls {
    reads: u64,
    writes: u64,
    /// Blocking queries that wait at the moment. Each was counted as one read.
    pub(super) waiting_watches: u64,
}

impl Calls {
    pub(super) fn count(&mut self, is_read: bool) {
        *(if is_read { &mut self.reads } else { &mut self.writes }) += 1;
    }

    pub(super) fn to_json(&self) -> serde_json::Value {
        json!({
            "reads": self.reads,
            "writes": self.writes,
            "waiting_watches": self.waiting_watches,
        })
    }
}
