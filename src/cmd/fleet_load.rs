//! The load of a fleet by queue, summed over the metrics pages of its entries and agents.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use telemetry::QueueTable;

use super::metrics_page::{self, Sample};

/// A metric that every entry has from its start.
const ENTRY_METRIC: &str = "dockpass_jobs_submitted_total";
/// A metric that every agent has from its start.
const AGENT_METRIC: &str = "dockpass_tasks_asked_total";

/// Jobs of one queue, at one entry or at all.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QueueLoad {
    /// Tasks that wait for capacity.
    pub waiting: u64,
    /// Jobs completed within the objective that the entry knows.
    pub in_time: u64,
    /// Jobs completed later.
    pub late: u64,
    /// Answers "not run", by cause.
    pub refused: BTreeMap<String, u64>,
}

impl QueueLoad {
    /// Number of answers "not run".
    pub fn refused_total(&self) -> u64 {
        self.refused.values().sum()
    }

    /// Number of jobs that were late or refused.
    fn failed(&self) -> u64 {
        self.late + self.refused_total()
    }

    fn answered(&self) -> u64 {
        self.in_time + self.failed()
    }

    fn add(&mut self, other: &Self) {
        self.waiting += other.waiting;
        self.in_time += other.in_time;
        self.late += other.late;
        for (cause, count) in &other.refused {
            *self.refused.entry(cause.clone()).or_default() += count;
        }
    }
}

/// Load by queue.
pub type QueueLoads = QueueTable<QueueLoad>;

/// Jobs of one queue at all entries.
#[derive(Debug, Default, PartialEq)]
pub struct QueueSummary {
    /// Sum over the entries.
    pub total: QueueLoad,
    /// Number of entries that have the queue.
    pub entries: usize,
    /// The worst entry and its part of the sum; see [`excess_failures`].
    pub worst: Option<(SocketAddr, QueueLoad)>,
}

/// Returns the load by queue from the metrics page of an entry.
pub fn parse_entry(page: &str) -> Result<QueueLoads, String> {
    let samples = parse_page(page, ENTRY_METRIC, "an entry")?;
    let mut queues = QueueLoads::default();
    for sample in &samples {
        let Some(queue) = sample.label("queue") else { continue };
        let count = || sample.value as u64;
        match (sample.name, sample.label("result"), sample.label("reason")) {
            ("dockpass_queue_tasks_waiting", _, _) => {
                queues.get_mut(queue).waiting += count();
            }
            ("dockpass_queue_jobs_total", Some("in_time"), _) => {
                queues.get_mut(queue).in_time += count();
            }
            ("dockpass_queue_jobs_total", Some("late"), _) => {
                queues.get_mut(queue).late += count();
            }
            ("dockpass_queue_refused_total", _, Some(reason)) => {
                let refused = &mut queues.get_mut(queue).refused;
                *refused.entry(reason.to_owned()).or_default() += count();
            }
            _ => {}
        }
    }
    Ok(queues)
}

/// Returns the run time of tasks at the target relative to the usual one, in percent, from the
/// metrics page of an agent; `None` if the agent has no target.
pub fn parse_agent(page: &str) -> Result<Option<f64>, String> {
    let samples = parse_page(page, AGENT_METRIC, "an agent")?;
    let slowdown = samples.iter().find(|it| it.name == "dockpass_target_slowdown_percent");
    Ok(slowdown.map(|sample| sample.value).filter(|percent| percent.is_finite()))
}

/// Parses a page and checks that it comes from the expected kind of node.
fn parse_page<'a>(page: &'a str, required: &str, kind: &str) -> Result<Vec<Sample<'a>>, String> {
    let samples = metrics_page::parse(page)
        .map_err(|line| format!("not a metrics page, at the line '{line}'"))?;
    match samples.iter().any(|sample| sample.name == required) {
        true => Ok(samples),
        false => Err(format!("the page is not that of {kind}")),
    }
}

/// Sums the load of all entries by queue.
pub fn summarize(entries: &BTreeMap<SocketAddr, QueueLoads>) -> BTreeMap<String, QueueSummary> {
    let mut totals = QueueLoads::default();
    for (queue, load) in entries.values().flat_map(QueueTable::iter) {
        totals.get_mut(queue).add(load);
    }
    let summary = |(queue, total): (&str, &QueueLoad)| {
        let parts: Vec<(SocketAddr, &QueueLoad)> = entries
            .iter()
            .filter_map(|(entry, queues)| queues.get(queue).map(|load| (*entry, load)))
            .collect();
        let worst = parts.iter().copied().max_by(|(a_entry, a), (b_entry, b)| {
            let (a_excess, b_excess) = (excess_failures(a, total), excess_failures(b, total));
            a_excess.total_cmp(&b_excess).then(a.waiting.cmp(&b.waiting)).then(b_entry.cmp(a_entry))
        });
        let worst = worst.map(|(entry, load)| (entry, load.clone()));
        let total = total.clone();
        (queue.to_owned(), QueueSummary { entries: parts.len(), total, worst })
    };
    totals.iter().map(summary).collect()
}

/// Number of late and refused jobs at an entry beyond those that it would have at the share of the
/// fleet. A plain share would make an entry with few jobs the worst one by chance, and a plain
/// number the one with the most jobs.
fn excess_failures(load: &QueueLoad, total: &QueueLoad) -> f64 {
    let share = total.failed() as f64 / total.answered().max(1) as f64;
    load.failed() as f64 - share * load.answered() as f64
}

/// The slowest, the median and the fastest target, with the address of their agents.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetSpeeds {
    /// The target with the longest run times, in percent of the usual ones.
    pub slowest: (SocketAddr, f64),
    /// The target in the middle.
    pub median: (SocketAddr, f64),
    /// The target with the shortest run times.
    pub fastest: (SocketAddr, f64),
}

/// Returns the speeds of the targets; `None` if there are none.
pub fn target_speeds(targets: &BTreeMap<SocketAddr, f64>) -> Option<TargetSpeeds> {
    let mut all: Vec<(SocketAddr, f64)> =
        targets.iter().map(|(agent, percent)| (*agent, *percent)).collect();
    all.sort_by(|(_, a), (_, b)| b.total_cmp(a));
    Some(TargetSpeeds { slowest: *all.first()?, median: all[all.len() / 2], fastest: *all.last()? })
}
