//! Demand for targets near data, by label.
//!
//! Answers loads in which about half the jobs of a queue name the rack that holds their data for
//! seconds at a time. Elsewhere their tasks take a multiple of the time, and other tasks fill that
//! rack unless they avoid it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use model::Time;

use crate::target_search::TaskNeeds;

/// Period over which demand is counted. Demand for a rack lasts for about five seconds, so it is
/// noticed and forgotten within a fifth of that.
const WINDOW: Duration = Duration::from_secs(1);
/// Number of parts of the window. A part is forgotten at once, so demand lasts up to a tenth
/// longer.
const BUCKETS: u64 = 10;
/// Number of tasks that name a label within the window from which it is in demand: two of the
/// widest jobs. An entry sees several times as many when a rack is in demand.
const MIN_TASKS: u64 = 16;
/// Number of waiting tasks placed near their data within the window from which the wait is
/// forecast. The relative error of the rate is below a quarter then.
const MIN_PLACEMENTS: u64 = 20;
/// Maximum number of labels. The label without tasks for the longest time is forgotten first.
const MAX_LABELS: usize = 256;

/// Demand for a label in a part of the window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Number of tasks that named the label.
    pub tasks: u64,
    /// Work of these tasks, in core-microseconds.
    pub work: u64,
    /// Number of tasks that waited for a target with the label and were placed there.
    waited: u64,
    /// CPU of these tasks, in thousandths of a core.
    waited_cpu: u64,
}

/// A part of the window, numbered from the epoch.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: u64,
    demand: Demand,
}

#[derive(Clone, Debug, Default)]
struct LabelHistory {
    buckets: [Bucket; BUCKETS as usize],
    last: u64,
}

impl LabelHistory {
    fn current(&mut self, number: u64) -> &mut Demand {
        let bucket = &mut self.buckets[(number % BUCKETS) as usize];
        if bucket.number != number {
            *bucket = Bucket { number, demand: Demand::default() };
        }
        self.last = self.last.max(number);
        &mut bucket.demand
    }

    /// Returns the part of the window since the first placement of a waiting task. At the start of
    /// a demand, the rate over the whole window would be too low.
    fn waited_span(&self, number: u64) -> Duration {
        let is_counted =
            |bucket: &&Bucket| bucket.number + BUCKETS > number && bucket.demand.waited > 0;
        let first = self.buckets.iter().filter(is_counted).map(|bucket| bucket.number).min();
        let parts = first.map_or(BUCKETS, |first| number.saturating_sub(first) + 1);
        WINDOW.mul_f64(parts as f64 / BUCKETS as f64)
    }

    fn total(&self, number: u64) -> Demand {
        let is_recent = |bucket: &&Bucket| bucket.number + BUCKETS > number;
        let recent = self.buckets.iter().filter(is_recent).map(|bucket| bucket.demand);
        recent.fold(Demand::default(), |total, demand| Demand {
            tasks: total.tasks + demand.tasks,
            work: total.work + demand.work,
            waited: total.waited + demand.waited,
            waited_cpu: total.waited_cpu + demand.waited_cpu,
        })
    }
}

/// The tasks that named each label in the last second, as one entry saw them.
#[derive(Debug, Default)]
pub struct LabelDemand {
    labels: BTreeMap<Arc<str>, LabelHistory>,
}

impl LabelDemand {
    /// Records the tasks of a submitted job that names a label.
    pub fn record(
        &mut self,
        now: Time,
        label: &Arc<str>,
        tasks: u32,
        cpu_milli: u64,
        run_time: Duration,
    ) {
        if !self.labels.contains_key(label) && self.labels.len() >= MAX_LABELS {
            let idle = self.labels.iter().min_by_key(|(_, history)| history.last);
            if let Some(idle) = idle.map(|(label, _)| label.clone()) {
                self.labels.remove(&idle);
            }
        }
        let demand = self.labels.entry(label.clone()).or_default().current(bucket_number(now));
        demand.tasks += u64::from(tasks);
        let core_micros = cpu_milli as f64 / 1e3 * run_time.as_micros() as f64;
        demand.work = demand.work.saturating_add((f64::from(tasks) * core_micros) as u64);
    }

    /// Records that a task which had waited for a target with its label was placed at one.
    pub fn record_waited(&mut self, now: Time, label: &str, cpu_milli: u64) {
        let Some(history) = self.labels.get_mut(label) else { return };
        let demand = history.current(bucket_number(now));
        demand.waited += 1;
        demand.waited_cpu += cpu_milli;
    }

    /// Returns the demand for a label in the last second.
    pub fn demand(&self, now: Time, label: &str) -> Demand {
        let number = bucket_number(now);
        self.labels.get(label).map_or_else(Demand::default, |history| history.total(number))
    }

    /// Returns the labels whose targets other tasks should avoid.
    pub fn in_demand(&self, now: Time) -> Vec<Arc<str>> {
        let number = bucket_number(now);
        let is_in_demand =
            |(_, history): &(&Arc<str>, &LabelHistory)| history.total(number).tasks >= MIN_TASKS;
        self.labels.iter().filter(is_in_demand).map(|(label, _)| label.clone()).collect()
    }

    /// Predicts the wait for a target with a label behind waiting tasks of this much CPU, in
    /// thousandths of a core. `None` until enough waiting tasks were placed in the last second.
    pub fn expected_wait(&self, now: Time, label: &str, cpu_milli_ahead: u64) -> Option<Duration> {
        let number = bucket_number(now);
        let history = self.labels.get(label)?;
        let demand = history.total(number);
        if demand.waited < MIN_PLACEMENTS {
            return None;
        }
        let spans = cpu_milli_ahead as f64 / demand.waited_cpu.max(1) as f64;
        // A wait of many windows is longer than any objective.
        Some(history.waited_span(number).mul_f64(spans.min(1e3)))
    }
}

fn bucket_number(now: Time) -> u64 {
    now.as_micros() / (WINDOW.as_micros() as u64 / BUCKETS)
}

/// Where a task that names a label could run while no target with the label has room for it.
#[derive(Clone, Copy, Debug)]
pub struct DataChoice {
    /// Predicted wait for a target with the label, from the rate at which waiting tasks found one.
    pub expected_wait: Option<Duration>,
    /// How long the task has waited so far.
    pub waited: Duration,
    /// Lowest slowdown, relative to the median, of the open targets with the label.
    pub near_slowdown: f64,
    /// Relative slowdown of the best target without the label that has room.
    pub away_slowdown: Option<f64>,
    /// Lowest relative slowdown of all open targets.
    pub lowest_slowdown: f64,
    /// Whether the job can still be refused, as nothing of it has started.
    pub may_refuse: bool,
}

/// What to do with a task that names a label while no target with the label has room for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DataDecision {
    /// Keep waiting for a target with the label.
    Wait,
    /// Run at the target without the label that has room.
    RunAway,
    /// Refuse the job: it can be in time neither by waiting nor elsewhere.
    Refuse,
}

impl DataChoice {
    /// Decides between waiting for a target with the label, another target and refusal.
    pub fn decide(&self, task: &TaskNeeds) -> DataDecision {
        let latest = task.objective.as_secs_f64();
        let near_after =
            |wait: Duration| wait.as_secs_f64() + task.end(task.run_time, self.near_slowdown);
        let away_at = |slowdown: f64| task.end(task.run_time, slowdown * task.remote_penalty);
        // While the rate is unknown, a task that has waited for some time is expected to wait for
        // as long again, so it loses at most the time that running elsewhere costs.
        let near = near_after(self.expected_wait.unwrap_or(self.waited));
        let away = self.away_slowdown.map(away_at);
        if near <= latest && away.is_none_or(|away| near < away) {
            return DataDecision::Wait;
        }
        if away.is_some_and(|away| away <= latest) {
            return DataDecision::RunAway;
        }
        if away_at(self.lowest_slowdown) <= latest {
            return DataDecision::Wait;
        }
        if self.may_refuse {
            // No job is refused on a guess.
            let is_certain = near_after(self.expected_wait.unwrap_or_default()) > latest;
            return if is_certain { DataDecision::Refuse } else { DataDecision::Wait };
        }
        match away {
            Some(away) if away <= near => DataDecision::RunAway,
            _ => DataDecision::Wait,
        }
    }
}
