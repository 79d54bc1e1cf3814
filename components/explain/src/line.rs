//! Parsing of log lines.

use serde_json::{Map, Value};

/// Fields that every line has in addition to those of its event.
const COMMON_FIELDS: [&str; 3] = ["time", "node", "event"];
/// Field with the id of the job that a line is about.
const JOB_KEY: &str = "job";

/// A log line: a JSON object, which may follow a prefix such as a timestamp.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Time of the event by the node's clock, in seconds since the Unix epoch.
    pub time: f64,
    /// The node that wrote the line.
    pub node: String,
    /// The kind of the event.
    pub event: String,
    /// The fields of the event, without those that every line has.
    pub fields: Map<String, Value>,
}

impl Line {
    /// Parses a line; `None` if it holds no JSON object with time, node and event.
    pub fn parse(text: &str) -> Option<Self> {
        let object = &text[text.find('{')?..];
        let mut fields: Map<String, Value> = serde_json::from_str(object).ok()?;
        let time = fields.get("time")?.as_f64()?;
        let node = fields.get("node")?.as_str()?.to_owned();
        let event = fields.get("event")?.as_str()?.to_owned();
        fields.retain(|name, _| !COMMON_FIELDS.contains(&name.as_str()));
        Some(Self { time, node, event, fields })
    }

    /// Whether the line is about this job.
    pub fn is_about_job(&self, id: &str) -> bool {
        self.fields.get(JOB_KEY).and_then(Value::as_str) == Some(id)
    }

    /// Whether the line records a state change of its node, that is, an event that is not about a
    /// job.
    pub fn is_state_change(&self) -> bool {
        !self.fields.contains_key(JOB_KEY)
    }

    /// The value of a string field; empty if the field is absent or not a string.
    pub fn text(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or_default()
    }

    /// The fields as `name=value` pairs, without the job id.
    pub fn fields_text(&self) -> String {
        let pairs =
            self.fields.iter().filter(|(key, _)| *key != JOB_KEY).map(|(key, value)| match value {
                Value::String(text) => format!("{key}={text}"),
                other => format!("{key}={other}"),
            });
        pairs.collect::<Vec<_>>().join(" ")
    }
}
