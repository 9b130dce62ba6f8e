//! Lines of a proxy's log.

use std::time::UNIX_EPOCH;

use serde_json::Value;

use super::ExplainedLine;

/// A line that can be placed in time.
#[derive(Debug)]
pub struct LogLine {
    pub file: String,
    pub timestamp: String,
    /// Unix time by the clock of the line's host.
    pub at_unix_us: u64,
    pub event: String,
    /// Id of the request that the line is about, empty for none.
    pub request: String,
    fields: Vec<(String, String)>,
}

impl LogLine {
    /// Reads a line; `None` if it is not a line of the log.
    pub fn parse(file: &str, line: &str) -> Option<Self> {
        let Value::Object(object) = serde_json::from_str(line).ok()? else { return None };
        let text = |field: &str| object.get(field).and_then(Value::as_str).unwrap_or_default();
        let timestamp = text("timestamp").to_owned();
        let at = humantime::parse_rfc3339(&timestamp).ok()?.duration_since(UNIX_EPOCH).ok()?;
        let known = ["timestamp", "level", "event", "request"];
        let fields = object
            .iter()
            .filter(|(name, _)| !known.contains(&name.as_str()))
            .map(|(name, value)| (name.clone(), plain(value)))
            .filter(|(_, value)| !value.is_empty())
            .collect();
        Some(Self {
            file: file.to_owned(),
            at_unix_us: u64::try_from(at.as_micros()).ok()?,
            event: text("event").to_owned(),
            request: text("request").to_owned(),
            timestamp,
            fields,
        })
    }

    /// The line as it is shown.
    pub fn explained(&self, id: &str) -> ExplainedLine {
        let fields: Vec<String> = self
            .fields
            .iter()
            .map(|(name, value)| match name.as_str() {
                "detail" => value.clone(),
                _ => format!("{name}={value}"),
            })
            .collect();
        ExplainedLine {
            timestamp: self.timestamp.clone(),
            file: self.file.clone(),
            is_request: self.request == id,
            event: self.event.clone(),
            text: fields.join(", "),
        }
    }
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
