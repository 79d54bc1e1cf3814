//! Counters of a running load, and its results by entry and by queue.

use std::collections::BTreeMap;
use std::time::Duration;

use dispatch::Outcome;
use model::Time;

use super::client::Client;
use super::load_jobs::JOB_KINDS;
use super::simulation::{START, Simulation};

/// Share of its worth that a job earns when it ends after its objective.
const LATE_WORTH_SHARE: f64 = 0.2;
/// Length of the intervals of `LoadResult::offered`.
const OFFERED_INTERVAL: Duration = Duration::from_millis(250);

/// Results of a load.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadResult {
    /// Jobs that were submitted.
    pub jobs: u64,
    /// Jobs that completed within their objective, counted from their first submission.
    pub in_time: u64,
    /// Jobs that completed after their objective.
    pub late: u64,
    /// Jobs answered as not run whose clients did not return.
    pub not_run: u64,
    /// Earned share of the worth of all jobs.
    pub worth: f64,
    /// Earned share of the worth of the jobs of each priority.
    pub worth_by_priority: [f64; JOB_KINDS],
    /// Starts that entries sent, per task that started.
    pub starts_per_task: f64,
    /// Messages sent in sessions, per job.
    pub messages_per_job: f64,
    /// Time from the submission to the first start: median and 95th percentile, in milliseconds.
    pub first_start_ms: (f64, f64),
    /// Lowest and highest number of sessions of an entry.
    pub sessions: (usize, usize),
    /// Entries that have the configuration at the end.
    pub entries_with_document: usize,
    /// Results by entry. A job that returns counts at each entry that received it.
    pub by_entry: Vec<GroupResult>,
    /// Results by queue, the most urgent one first.
    pub by_queue: Vec<GroupResult>,
    /// Share of the late jobs whose longest run was on the slowest quarter of the targets. Among
    /// equally slow targets, the first ones count as slower.
    pub late_on_slowest: f64,
    /// The same share of the jobs that completed in time.
    pub in_time_on_slowest: f64,
    /// Work that was submitted in each 250 ms from the first submission, relative to what all
    /// targets can carry out in that time.
    pub offered: Vec<f64>,
}

/// Results of the jobs of one entry or one queue.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GroupResult {
    /// Jobs that were submitted, including those that returned to another entry.
    pub jobs: u64,
    /// Jobs that completed within their objective.
    pub in_time: u64,
    /// Jobs that completed after their objective.
    pub late: u64,
    /// Answers "not run", including those after which the client returned.
    pub refused: u64,
    /// Refusals after which the client returned.
    pub returns: u64,
    /// Mean time from the last submission to the first start of a job, in milliseconds. Jobs that
    /// did not start don't count.
    pub mean_wait_ms: f64,
    /// Mean `Retry-After` of the clients that returned, in milliseconds.
    pub mean_return_ms: f64,
}

impl GroupResult {
    /// Returns the share of answers "not run" among the submitted jobs.
    pub fn refused_share(&self) -> f64 {
        self.refused as f64 / self.jobs.max(1) as f64
    }
}

impl LoadResult {
    /// Returns the share of jobs that completed within their objective.
    pub fn in_time_share(&self) -> f64 {
        self.in_time as f64 / self.jobs.max(1) as f64
    }

    /// Returns the highest value of an entry relative to the mean over all entries; 1 if the mean
    /// is zero.
    pub fn worst_entry(&self, value: impl Fn(&GroupResult) -> f64) -> f64 {
        let values: Vec<f64> = self.by_entry.iter().map(value).collect();
        let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
        if mean > 0.0 { values.into_iter().fold(0.0, f64::max) / mean } else { 1.0 }
    }
}

/// Counters of one entry or one queue.
#[derive(Clone, Copy, Debug, Default)]
struct Group {
    jobs: u64,
    in_time: u64,
    late: u64,
    refused: u64,
    returns: u64,
    started: u64,
    total_wait: Duration,
    total_return: Duration,
}

impl Group {
    fn result(&self) -> GroupResult {
        let mean_ms = |total: Duration, count: u64| total.as_secs_f64() * 1e3 / count.max(1) as f64;
        GroupResult {
            jobs: self.jobs,
            in_time: self.in_time,
            late: self.late,
            refused: self.refused,
            returns: self.returns,
            mean_wait_ms: mean_ms(self.total_wait, self.started),
            mean_return_ms: mean_ms(self.total_return, self.returns),
        }
    }
}

/// Counters of a running load.
#[derive(Debug, Default)]
pub(super) struct LoadStats {
    pub messages: u64,
    in_time: u64,
    late: u64,
    not_run: u64,
    /// Submitted and earned worth, by priority.
    worth: [(f64, f64); JOB_KINDS],
    first_starts: Vec<Duration>,
    by_entry: BTreeMap<usize, Group>,
    by_queue: BTreeMap<usize, Group>,
    /// The agent of the longest run of each completed job, and whether the job was in time.
    longest_runs: Vec<(usize, bool)>,
    /// Submitted work in thousandths of a core times seconds, by interval.
    offered: BTreeMap<u64, f64>,
}

impl LoadStats {
    pub fn job_submitted(&mut self, now: Time, client: &Client) {
        let run_time: Duration = client.work.iter().map(|(time, _)| *time).sum();
        let work = client.request.shape.resources.cpu_milli as f64 * run_time.as_secs_f64();
        let interval = now.since(START).as_millis() / OFFERED_INTERVAL.as_millis();
        *self.offered.entry(interval as u64).or_default() += work;
        let entry = client.pending_call.map(|(entry, _)| entry);
        self.groups(entry, client).for_each(|group| group.jobs += 1);
    }

    pub fn job_answered(&mut self, now: Time, entry: usize, client: &Client, outcome: Outcome) {
        let in_time = now.since(client.first_submitted) <= client.objective;
        let earned = match outcome {
            Outcome::Completed if in_time => 1.0,
            Outcome::Completed => LATE_WORTH_SHARE,
            _ => 0.0,
        };
        match outcome {
            Outcome::Completed if in_time => self.in_time += 1,
            Outcome::Completed => self.late += 1,
            Outcome::NotRun { .. } => self.not_run += 1,
            _ => {}
        }
        self.groups(Some(entry), client).for_each(|group| match outcome {
            Outcome::Completed if in_time => group.in_time += 1,
            Outcome::Completed => group.late += 1,
            Outcome::NotRun { .. } => group.refused += 1,
            _ => {}
        });
        if let (Outcome::Completed, Some((_, agent))) = (outcome, client.longest_run) {
            self.longest_runs.push((agent, in_time));
        }
        let priority = usize::from(client.request.priority);
        if let Some(worth) = self.worth.get_mut(priority) {
            worth.0 += client.worth;
            worth.1 += client.worth * earned;
        }
    }

    /// Records that the client of a refused job will submit it again.
    pub fn job_returns(&mut self, refused_by: usize, client: &Client, after: Duration) {
        self.groups(Some(refused_by), client).for_each(|group| {
            group.refused += 1;
            group.returns += 1;
            group.total_return += after;
        });
    }

    pub fn task_started(&mut self, now: Time, client: &mut Client) {
        if !std::mem::replace(&mut client.started, true) {
            self.first_starts.push(now.since(client.first_submitted));
            let wait = now.since(client.last_submitted);
            let entry = client.pending_call.map(|(entry, _)| entry);
            self.groups(entry, client).for_each(|group| {
                group.started += 1;
                group.total_wait += wait;
            });
        }
    }

    /// Returns the counters of an entry and of a client's queue.
    fn groups(
        &mut self,
        entry: Option<usize>,
        client: &Client,
    ) -> impl Iterator<Item = &mut Group> {
        let by_entry = entry.map(|entry| self.by_entry.entry(entry).or_default());
        let queue = usize::from(client.request.priority);
        by_entry.into_iter().chain([self.by_queue.entry(queue).or_default()])
    }

    /// Share of the jobs, in time or late, whose longest run was at one of the given agents.
    fn longest_run_share(&self, agents: &[usize], in_time: bool) -> f64 {
        let jobs = self.longest_runs.iter().filter(|(_, job_in_time)| *job_in_time == in_time);
        let (mut all, mut at_agents) = (0.0, 0.0);
        for (agent, _) in jobs {
            all += 1.0;
            at_agents += f64::from(u8::from(agents.contains(agent)));
        }
        if all > 0.0 { at_agents / all } else { 0.0 }
    }
}

/// Figures of a load that are not taken at its end.
pub(super) struct Measured {
    pub jobs: u64,
    /// Messages sent while jobs were submitted.
    pub messages: u64,
    /// Lowest and highest number of sessions of an entry when the first job was submitted.
    pub sessions: (usize, usize),
    /// Agents of the slowest quarter of the targets.
    pub slowest: Vec<usize>,
    /// When the first job was submitted.
    pub start: Time,
}

pub(super) fn collect_result(simulation: &mut Simulation, measured: &Measured) -> LoadResult {
    let counters: Vec<_> = simulation
        .entries
        .iter()
        .filter_map(|entry| entry.dispatcher.as_ref())
        .map(|dispatcher| dispatcher.counters())
        .collect();
    let starts: u64 = counters.iter().map(|counters| counters.starts_sent).sum();
    let capacity: u64 = simulation.agents.iter().map(|agent| agent.capacity.cpu_milli).sum();
    let load_stats = &mut simulation.load_stats;
    load_stats.first_starts.sort_unstable();
    let percentile = |quantile: f64| {
        let index = (load_stats.first_starts.len() as f64 * quantile) as usize;
        load_stats.first_starts.get(index).map_or(0.0, |time| time.as_secs_f64() * 1e3)
    };
    let (submitted, earned) = load_stats
        .worth
        .iter()
        .fold((0.0, 0.0), |(submitted, earned), kind| (submitted + kind.0, earned + kind.1));
    let results = |groups: &BTreeMap<usize, Group>, count: usize| -> Vec<GroupResult> {
        (0..count)
            .map(|number| groups.get(&number).map(Group::result).unwrap_or_default())
            .collect()
    };
    let interval_capacity = capacity as f64 * OFFERED_INTERVAL.as_secs_f64();
    let first = (measured.start.since(START).as_millis() / OFFERED_INTERVAL.as_millis()) as u64;
    let last = load_stats.offered.last_key_value().map_or(first, |(interval, _)| interval + 1);
    let offered = |interval| load_stats.offered.get(&interval).map_or(0.0, |work| *work);
    LoadResult {
        jobs: measured.jobs,
        worth: earned / submitted,
        worth_by_priority: load_stats.worth.map(|(submitted, earned)| earned / submitted),
        in_time: load_stats.in_time,
        late: load_stats.late,
        not_run: load_stats.not_run,
        starts_per_task: starts as f64 / simulation.checks.summary.started.max(1) as f64,
        messages_per_job: measured.messages as f64 / measured.jobs.max(1) as f64,
        first_start_ms: (percentile(0.5), percentile(0.95)),
        sessions: measured.sessions,
        by_entry: results(&load_stats.by_entry, simulation.entries.len()),
        by_queue: results(&load_stats.by_queue, JOB_KINDS),
        late_on_slowest: load_stats.longest_run_share(&measured.slowest, false),
        in_time_on_slowest: load_stats.longest_run_share(&measured.slowest, true),
        offered: (first..last).map(|interval| offered(interval) / interval_capacity).collect(),
        entries_with_document: simulation.entries_with_document(),
    }
}
