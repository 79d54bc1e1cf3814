//! Reads the samples of a metrics page in the Prometheus text format.
//!
//! Names of queues are free text. A parser that takes a comma or a brace in a label value for the
//! end of the label would lose queues without a trace, so a line that can't be read is an error.

use std::str::Chars;

/// One line of a metrics page.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample<'a> {
    /// Name of the metric.
    pub name: &'a str,
    labels: Vec<(&'a str, String)>,
    /// The value.
    pub value: f64,
}

impl Sample<'_> {
    /// Returns the value of a label.
    pub fn label(&self, name: &str) -> Option<&str> {
        self.labels.iter().find(|(label, _)| *label == name).map(|(_, value)| value.as_str())
    }
}

/// Returns the samples of a page, or the first line that can't be read.
pub fn parse(page: &str) -> Result<Vec<Sample<'_>>, &str> {
    let is_sample = |line: &&str| !line.is_empty() && !line.starts_with('#');
    let lines = page.lines().map(str::trim).filter(is_sample);
    lines.map(|line| parse_sample(line).ok_or(line)).collect()
}

fn parse_sample(line: &str) -> Option<Sample<'_>> {
    let name_end = line.find(['{', ' ', '\t'])?;
    let (name, rest) = line.split_at(name_end);
    let (labels, rest) = match rest.strip_prefix('{') {
        Some(rest) => parse_labels(rest)?,
        None => (Vec::new(), rest),
    };
    // A timestamp may follow the value.
    let value = rest.split_whitespace().next()?.parse().ok()?;
    Some(Sample { name, labels, value }).filter(|sample| !sample.name.is_empty())
}

/// The labels of a sample, and the text after them.
type Labels<'a> = (Vec<(&'a str, String)>, &'a str);

/// Parses labels up to their closing brace.
fn parse_labels(mut rest: &str) -> Option<Labels<'_>> {
    let mut labels = Vec::new();
    loop {
        rest = rest.trim_start();
        if let Some(after) = rest.strip_prefix('}') {
            return Some((labels, after));
        }
        let (name, after) = rest.split_once('=')?;
        let mut characters = after.trim_start().strip_prefix('"')?.chars();
        labels.push((name.trim_end(), parse_quoted(&mut characters)?));
        rest = characters.as_str().trim_start();
        match rest.strip_prefix(',') {
            Some(after) => rest = after,
            None if rest.starts_with('}') => {}
            None => return None,
        }
    }
}

/// Parses the rest of a quoted value, with its closing quote.
fn parse_quoted(characters: &mut Chars<'_>) -> Option<String> {
    let mut value = String::new();
    loop {
        value.push(match characters.next()? {
            '"' => return Some(value),
            '\\' => match characters.next()? {
                'n' => '\n',
                escaped => escaped,
            },
            other => other,
        });
    }
}
