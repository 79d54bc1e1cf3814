//! One line of a log.

use serde_json::{Map, Value};

/// Fields that every line has, besides those of its event.
const COMMON: [&str; 3] = ["time", "node", "event"];
/// Fields that name a request.
const JOB: &str = "job";

/// One line of a log: a JSON object, whatever stands before it in the text.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Seconds since the Unix epoch, by the writer's clock.
    pub time: f64,
    /// Who wrote it.
    pub node: String,
    /// What it is about.
    pub event: String,
    /// What was decided, and by which inputs.
    pub fields: Map<String, Value>,
}

impl Line {
    /// Reads a line; `None` for any other text.
    pub fn parse(text: &str) -> Option<Self> {
        let object = &text[text.find('{')?..];
        let mut fields: Map<String, Value> = serde_json::from_str(object).ok()?;
        let time = fields.get("time")?.as_f64()?;
        let node = fields.get("node")?.as_str()?.to_owned();
        let event = fields.get("event")?.as_str()?.to_owned();
        fields.retain(|name, _| !COMMON.contains(&name.as_str()));
        Some(Self { time, node, event, fields })
    }

    /// Whether it is about a request.
    pub fn is_about_job(&self, job: &str) -> bool {
        self.fields.get(JOB).and_then(Value::as_str) == Some(job)
    }

    /// Whether it is about a change of state, and not about any request.
    pub fn is_state_change(&self) -> bool {
        !self.fields.contains_key(JOB)
    }

    /// A field as text; empty where there is none.
    pub fn text(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or_default()
    }

    /// The fields as `name=value`, without the request's id.
    pub fn fields_text(&self) -> String {
        let shown =
            self.fields.iter().filter(|(name, _)| *name != JOB).map(|(name, value)| match value {
                Value::String(text) => format!("{name}={text}"),
                other => format!("{name}={other}"),
            });
        shown.collect::<Vec<_>>().join(" ")
    }
}
