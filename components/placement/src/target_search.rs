//! Search for the target of a task, by when the task would end there.
//!
//! Answers loads in which targets differ in speed: a task that is in time on one target is late on
//! another, however much of it is free. Where all targets are alike and no data is named, targets
//! are compared by their free capacity alone.

use std::time::Duration;

/// Ratio of the 90th to the 10th percentile of the targets' slowdown from which they count as
/// unequal. Smaller differences are within the error of the learned slowdown, and in-time answers
/// don't depend on them.
const MIN_SPEED_RATIO: f64 = 1.25;
/// Slowdown of a target, in percent of an ordinary one, that the median is not taken to be below.
/// Otherwise ordinary targets would count as slow while most targets are idle and report little.
const MIN_MEDIAN_PERCENT: u32 = 50;
/// Slowdown relative to the median above which a target is a last resort.
const MAX_RELATIVE_SLOWDOWN: f64 = 2.5;
/// Margin, as a fraction of the objective, with which a task can be left to a slower target. Run
/// times of a queue's tasks spread by a factor of 1.5, which takes up a margin of this size.
const MARGIN_FRACTION: f64 = 0.25;
/// Multiple of the objective after which a result is of no use to the caller.
const MAX_USEFUL_OBJECTIVES: f64 = 3.0;
/// A task fills a target if the remaining CPU is below this fraction of the task's own. Relative to
/// the task, as the ratio of task size to target size differs between users.
const FILLED_FRACTION: f64 = 0.2;

/// Score bonus for a target that the task fills: above any score for free capacity, below the
/// last-resort penalty. Keeps large free blocks at other targets and stops all entries from
/// choosing the emptiest target.
const FILLED_BONUS: f64 = 1.0;
/// Score penalty of a target with twice the median slowdown; proportional to the excess. Applies
/// where the end of the task is not predicted.
const SLOWDOWN_PENALTY: f64 = 0.35;
/// Score per unit of slowdown relative to the median, where the end of the task is predicted. Equal
/// to the range of the score for free capacity, so that an empty target of half the speed does not
/// rank above one of median speed.
const SPEED_WEIGHT: f64 = 1.0;
/// Score bonus for a target where the task ends in time with a margin: above the scores for speed
/// and free capacity together.
const MARGIN_BONUS: f64 = 4.0;
/// Score penalty for a target that other tasks demand: above the scores for speed, margin and free
/// capacity together, so that such a target is used only if there is no room elsewhere.
const DEMAND_PENALTY: f64 = 8.0;
/// Score bonus for a target with the task's preferred label.
const AFFINITY_BONUS: f64 = 10.0;
/// Score penalty for a target that is much slower than the median.
const LAST_RESORT_PENALTY: f64 = 100.0;

/// The parts of the search that are in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SearchOptions {
    /// Prefer targets that the task fills.
    pub fill_targets: bool,
    /// Take the targets' slowdown into account.
    pub use_slowdown: bool,
    /// Choose by the predicted end of the task where targets differ in speed.
    pub predict_end: bool,
}

/// What a task needs from a target.
#[derive(Clone, Copy, Debug)]
pub struct TaskNeeds {
    /// CPU of the task, in thousandths of a core.
    pub cpu_milli: u64,
    /// Predicted run time on a target of median speed.
    pub run_time: Duration,
    /// Predicted longest run time among the tasks that the job still waits for, on targets of
    /// median speed.
    pub longest_run_time: Duration,
    /// Time from submission within which the job is to end.
    pub objective: Duration,
    /// Time of the objective that is used up already, including what starting and answering take.
    pub elapsed: Duration,
    /// Whether the job names a label that its target should preferably have.
    pub names_label: bool,
    /// Factor on the run time at a target without that label. 1 if the label is only a preference.
    pub remote_penalty: f64,
    /// Whether little capacity is free, so that fast targets are left to tasks that need them.
    pub capacity_is_scarce: bool,
    /// Whether the task is placed however late its result is. Holds for jobs that have started: the
    /// work that is done would be lost, and an objective from a low estimate says little.
    pub must_run: bool,
}

/// A target with room for the task.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<Id> {
    /// Identifies the target to the caller.
    pub id: Id,
    /// Free CPU before the task starts, in thousandths of a core.
    pub free_cpu_milli: u64,
    /// Total CPU, in thousandths of a core.
    pub total_cpu_milli: u64,
    /// Slowdown as reported by its agent, in percent. 0 if unknown.
    pub slowdown_percent: u32,
    /// Whether it has the label that the task names.
    pub has_label: bool,
    /// Whether it has a label that is in demand and that the task does not name.
    pub is_in_demand: bool,
}

/// Result of a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SearchResult<Id> {
    /// The best target.
    Target(Id),
    /// There was no candidate.
    NoCandidate,
    /// At every candidate, the task would end too late for the result to be of use.
    TooLate,
}

/// Finds the best target for a task among those with room for it.
#[derive(Clone, Copy, Debug)]
pub struct TargetSearch {
    options: SearchOptions,
    /// Median slowdown of the targets that accept work, in percent.
    median_percent: f64,
    /// Lowest slowdown of these targets relative to the median, at most 1.
    lowest_slowdown: f64,
    /// Whether the targets differ in speed by so much that ends are predicted.
    speeds_differ: bool,
}

impl TargetSearch {
    /// Prepares searches among targets of which those that accept work have these slowdowns, in
    /// percent, in any order. Targets of unknown slowdown (0) count as the median.
    pub fn new(options: SearchOptions, mut slowdowns: Vec<u32>) -> Self {
        slowdowns.retain(|percent| *percent > 0);
        slowdowns.sort_unstable();
        let quantile = |tenths: usize| slowdowns.get(slowdowns.len() * tenths / 10).copied();
        let median_percent = f64::from(quantile(5).unwrap_or_default().max(MIN_MEDIAN_PERCENT));
        let speeds_differ = match (quantile(1), quantile(9)) {
            (Some(low), Some(high)) => f64::from(high) >= f64::from(low) * MIN_SPEED_RATIO,
            _ => false,
        };
        let lowest = slowdowns.first().map_or(1.0, |lowest| f64::from(*lowest) / median_percent);
        Self {
            options,
            median_percent,
            lowest_slowdown: lowest.min(1.0),
            speeds_differ: options.predict_end && options.use_slowdown && speeds_differ,
        }
    }

    /// Returns the slowdown of a target relative to the median.
    pub fn relative_slowdown(&self, slowdown_percent: u32) -> f64 {
        match slowdown_percent {
            _ if !self.options.use_slowdown => 1.0,
            0 => 1.0,
            percent => f64::from(percent) / self.median_percent,
        }
    }

    /// Returns the lowest slowdown of the targets relative to the median, at most 1.
    pub fn lowest_slowdown(&self) -> f64 {
        self.lowest_slowdown
    }

    /// Whether the task's target is chosen by when the task would end there.
    pub fn predicts_end(&self, task: &TaskNeeds) -> bool {
        self.speeds_differ || (task.names_label && task.remote_penalty > 1.0)
    }

    /// Whether the result would come too late to be of use even from the fastest target.
    pub fn is_too_late(&self, task: &TaskNeeds) -> bool {
        self.predicts_end(task) && !task.is_useful(self.lowest_slowdown)
    }

    /// Returns the best of the candidates. Of equally good ones it is the last.
    pub fn best<Id: Copy>(
        &self,
        task: &TaskNeeds,
        candidates: impl Iterator<Item = Candidate<Id>>,
    ) -> SearchResult<Id> {
        let predicts_end = self.predicts_end(task);
        let mut result = SearchResult::NoCandidate;
        let mut best = (false, f64::NEG_INFINITY);
        for candidate in candidates {
            let rank = match predicts_end {
                true => self.rank_by_end(task, &candidate),
                false => Some((true, self.capacity_score(task, &candidate))),
            };
            match rank {
                Some(rank) if rank >= best => {
                    best = rank;
                    result = SearchResult::Target(candidate.id);
                }
                None if matches!(result, SearchResult::NoCandidate) => {
                    result = SearchResult::TooLate
                }
                _ => {}
            }
        }
        result
    }

    /// Scores a target by the fraction of its capacity that stays free, with a bonus if the task
    /// fills it and a penalty if it is slow.
    fn capacity_score<Id>(&self, task: &TaskNeeds, candidate: &Candidate<Id>) -> f64 {
        let slowdown = self.relative_slowdown(candidate.slowdown_percent);
        let score = self.free_score(task, candidate);
        let score = score - (slowdown - 1.0).max(0.0) * SLOWDOWN_PENALTY;
        add_constraint_scores(score, task, candidate, slowdown)
    }

    /// Ranks a target by whether the task would end there in time, then by score. Returns `None` if
    /// the result would come too late to be of use.
    fn rank_by_end<Id>(&self, task: &TaskNeeds, candidate: &Candidate<Id>) -> Option<(bool, f64)> {
        let slowdown = self.relative_slowdown(candidate.slowdown_percent);
        let is_remote = task.names_label && !candidate.has_label;
        let run_factor = if is_remote { slowdown * task.remote_penalty } else { slowdown };
        if !task.is_useful(run_factor) {
            return None;
        }
        let has_margin = task.has_margin(run_factor);
        let prefer_slower = has_margin && task.capacity_is_scarce;
        let mut score = self.free_score(task, candidate);
        score += SPEED_WEIGHT * if prefer_slower { slowdown } else { -run_factor };
        if has_margin {
            score += MARGIN_BONUS;
        }
        let score = add_constraint_scores(score, task, candidate, slowdown);
        Some((task.is_in_time(run_factor), score))
    }

    /// The fraction of the target's capacity that the task leaves free, with a bonus if the task
    /// fills the target.
    fn free_score<Id>(&self, task: &TaskNeeds, candidate: &Candidate<Id>) -> f64 {
        let free = candidate.free_cpu_milli.saturating_sub(task.cpu_milli) as f64;
        let fills = free < task.cpu_milli as f64 * FILLED_FRACTION;
        let score = free / candidate.total_cpu_milli.max(1) as f64;
        if self.options.fill_targets && fills { score + FILLED_BONUS } else { score }
    }
}

/// Adds the scores for the task's label, for targets that other tasks demand, and for targets that
/// are a last resort.
fn add_constraint_scores<Id>(
    mut score: f64,
    task: &TaskNeeds,
    candidate: &Candidate<Id>,
    slowdown: f64,
) -> f64 {
    if slowdown > MAX_RELATIVE_SLOWDOWN {
        score -= LAST_RESORT_PENALTY;
    }
    if task.names_label && candidate.has_label {
        score += AFFINITY_BONUS;
    }
    if candidate.is_in_demand {
        score -= DEMAND_PENALTY;
    }
    score
}

impl TaskNeeds {
    /// Whether the task ends in time where it runs `run_factor` times as long as on a target of
    /// median speed.
    fn is_in_time(&self, run_factor: f64) -> bool {
        self.end(self.run_time, run_factor) <= self.objective.as_secs_f64()
    }

    fn has_margin(&self, run_factor: f64) -> bool {
        let latest = self.objective.as_secs_f64() * (1.0 - MARGIN_FRACTION);
        self.end(self.longest_run_time, run_factor) <= latest && self.is_in_time(run_factor)
    }

    fn is_useful(&self, run_factor: f64) -> bool {
        let latest = self.objective.as_secs_f64() * MAX_USEFUL_OBJECTIVES;
        self.must_run || self.end(self.run_time, run_factor) <= latest
    }

    /// Predicted time from the submission of the job to the end of the run, in seconds.
    pub(crate) fn end(&self, run_time: Duration, run_factor: f64) -> f64 {
        self.elapsed.as_secs_f64() + run_time.as_secs_f64() * run_factor
    }
}
