//! Estimates that an entry sends with starts, and what it learns from completed runs.

mod support;

use std::sync::Arc;
use std::time::Duration;

use admission::TargetSpeed;
use dispatch::{Dispatcher, Event, JobRequest, Policy, SessionId, TaskShape, Timing};
use model::{JobId, TaskId};
use support::{Entry, START, job};
use wire::{Load, StartTask, TaskEnd, TaskReport, ToEntry};

const ESTIMATE: u32 = 100;

/// A start, with its agent and job.
type Start = (u64, JobId, StartTask);

/// An entry whose agents have free capacity for any job.
struct Line {
    entry: Entry,
    agents: u64,
    /// Slowdown that each agent reports, in percent.
    percent: u32,
    jobs: u64,
}

impl Line {
    fn new(agents: u64, policy: Policy) -> Self {
        let mut entry = Entry::new();
        entry.dispatcher = Dispatcher::new(Timing::default(), START).with_policy(policy);
        (1..=agents).for_each(|id| entry.add_agent(id, 16_000, &[]));
        Self { entry, agents, percent: 100, jobs: 0 }
    }

    /// Submits a new job of a queue and returns its starts.
    fn submit(&mut self, queue: &str, request: JobRequest) -> Vec<Start> {
        self.jobs += 1;
        self.entry.now = self.entry.now + Duration::from_millis(10);
        for id in 1..=self.agents {
            self.report(id, self.percent);
        }
        let id = JobId::new(&format!("{:016x}", self.jobs));
        self.entry.submit(JobRequest { id, queue: Arc::from(queue), ..request });
        self.entry.take_starts()
    }

    fn report(&mut self, id: u64, slowdown_percent: u32) {
        let load = Load { slowdown_percent, ..self.entry.load_with(16_000) };
        self.entry.handle(Event::FromAgent(SessionId(id), ToEntry::Load(load)));
    }

    fn end(&mut self, start: &Start, end: TaskEnd, ran_ms: u32) {
        let (id, job, task) = start;
        let task_id = TaskId { job: job.clone(), index: task.index };
        let reports = vec![TaskReport { task: task_id, sequence: task.sequence, end, ran_ms }];
        let load = Load { slowdown_percent: self.percent, ..self.entry.load_with(16_000) };
        self.entry.handle(Event::FromAgent(SessionId(*id), ToEntry::Ended { reports, load }));
    }

    /// Submits jobs of one task each and ends all runs that start, among them repeated ones of
    /// earlier jobs. Returns the number of runs.
    fn run(&mut self, queue: &str, jobs: usize, end: TaskEnd, ran_ms: u32) -> u64 {
        let mut runs = 0;
        for _ in 0..jobs {
            let request = JobRequest { max_attempts: 1, ..job(1, ESTIMATE) };
            for start in self.submit(queue, request) {
                self.end(&start, end, ran_ms);
                runs += 1;
            }
        }
        runs
    }

    /// The estimate that is sent with the next start of a queue.
    fn sent(&mut self, queue: &str) -> u32 {
        // With a single attempt, the failed task is not started again.
        let starts = self.submit(queue, JobRequest { max_attempts: 1, ..job(1, ESTIMATE) });
        self.end(&starts[0], TaskEnd::Failed, 1);
        starts[0].2.estimated_ms
    }
}

/// Guards against agents that are sent estimates which are off by the queue's error, and against
/// corrections by a few runs or by another queue.
#[test]
fn sent_estimate_is_corrected_by_queue() {
    let mut line = Line::new(3, Policy::default());
    line.run("q", 19, TaskEnd::Done, 200);
    assert_eq!(line.sent("q"), 100);
    line.run("q", 1, TaskEnd::Done, 200);
    let sent = line.sent("q");
    assert!((196..=204).contains(&sent), "{sent}");
    assert_eq!(line.sent("other"), 100);
}

/// Guards against a policy switch that leaves a part of the learning on.
#[test]
fn estimates_are_sent_as_they_are_without_run_times() {
    let mut line = Line::new(3, Policy { run_times: false, ..Policy::default() });
    line.run("q", 100, TaskEnd::Done, 200);
    assert_eq!(line.sent("q"), 100);
}

/// Guards against corrections by runs that did not complete: failed tasks return early, and stopped
/// ones ran only until their stop.
#[test]
fn only_completed_runs_count() {
    let mut line = Line::new(3, Policy::default());
    for end in [TaskEnd::Failed, TaskEnd::Stopped, TaskEnd::Lost, TaskEnd::Crashed] {
        line.run("q", 30, end, 300);
    }
    let done = line.run("q", 20, TaskEnd::Done, 100);
    assert_eq!(line.sent("q"), 100);
    let errors: Vec<u64> =
        line.entry.dispatcher.prediction_errors().iter().map(|(_, error)| error.count()).collect();
    assert_eq!(errors, [done]);
}

/// Guards against a queue whose tasks look slow because they ran away from their data.
#[test]
fn runs_away_from_their_data_do_not_count() {
    let mut line = Line::new(2, Policy::default());
    let shape = TaskShape { affinity: Some(Arc::from("r1")), ..job(1, ESTIMATE).shape };
    for _ in 0..100 {
        let request = JobRequest { shape: shape.clone(), ..job(1, ESTIMATE) };
        for start in line.submit("q", request) {
            line.end(&start, TaskEnd::Done, 300);
        }
    }
    assert_eq!(line.sent("q"), 100);
    line.entry.add_agent(3, 16_000, &["r1"]);
    for _ in 0..100 {
        line.report(3, 100);
        let request = JobRequest { shape: shape.clone(), ..job(1, ESTIMATE) };
        for start in line.submit("q", request) {
            assert_eq!(start.0, 3, "the task runs near its data");
            line.end(&start, TaskEnd::Done, 150);
        }
    }
    let sent = line.sent("q");
    assert!((147..=153).contains(&sent), "{sent}");
}

/// Guards against targets that look slow because they run tasks away from their data: the agent
/// doesn't know where the data is, so it is sent the longer run time.
#[test]
fn sent_estimate_includes_the_penalty_away_from_the_data() {
    let penalized = |policy: Policy| {
        let mut line = Line::new(2, policy);
        line.entry.dispatcher =
            Dispatcher::new(Timing::default(), START).with_policy(policy).with_remote_penalty(3.0);
        line.entry.add_agent(1, 16_000, &[]);
        line.entry.add_agent(2, 16_000, &[]);
        line
    };
    let shape = TaskShape { affinity: Some(Arc::from("r1")), ..job(1, ESTIMATE).shape };
    // Long enough that the task is in time away from its data.
    let objective = Duration::from_secs(2);
    let request = JobRequest { shape, objective, ..job(1, ESTIMATE) };
    let mut line = penalized(Policy::default());
    let starts = line.submit("q", request.clone());
    assert_eq!(starts[0].2.estimated_ms, 300);
    line.end(&starts[0], TaskEnd::Done, 300);
    let errors = line.entry.dispatcher.prediction_errors();
    let sums: Vec<f64> = errors.iter().map(|(_, error)| error.sum()).collect();
    assert_eq!(sums, [1.0], "the prediction includes the penalty");
    assert_eq!(line.sent("q"), 100, "a job that names no data has no penalty");
    line.entry.add_agent(3, 16_000, &["r1"]);
    let starts = line.submit("q", request.clone());
    assert_eq!((starts[0].0, starts[0].2.estimated_ms), (3, 100));
    let mut line = penalized(Policy { run_times: false, ..Policy::default() });
    assert_eq!(line.submit("q", request)[0].2.estimated_ms, 100);
}

/// Guards against a correction that counts the slowdown of targets twice: agents that report the
/// same figure are ordinary, whatever the figure.
#[test]
fn equally_slow_targets_count_as_ordinary() {
    let mut line = Line::new(3, Policy::default());
    line.percent = 200;
    line.run("q", 100, TaskEnd::Done, 200);
    let sent = line.sent("q");
    assert!((196..=204).contains(&sent), "{sent}");
}

/// Guards against agents that report no slowdown, or none yet, as those of old builds may.
#[test]
fn unknown_slowdown_counts_as_the_median() {
    let mut line = Line::new(3, Policy::default());
    line.percent = 0;
    line.run("q", 100, TaskEnd::Done, 200);
    let sent = line.sent("q");
    assert!((196..=204).contains(&sent), "{sent}");
}

/// Guards against a queue whose estimates are off by 2 and which makes the targets that it uses
/// look slow to the other queues.
#[test]
fn wrong_estimates_do_not_look_like_slow_targets() {
    let mut line = Line::new(4, Policy::default());
    let mut speeds = [TargetSpeed::default(); 4];
    for number in 0..2_000 {
        let (queue, ran_ms) = if number % 2 == 0 { ("low", 200) } else { ("exact", 100) };
        for start in line.submit(queue, job(2, ESTIMATE)) {
            let speed = &mut speeds[start.0 as usize - 1];
            let estimate = Duration::from_millis(u64::from(start.2.estimated_ms));
            speed.record(estimate, Duration::from_millis(ran_ms));
            line.end(&start, TaskEnd::Done, ran_ms as u32);
        }
    }
    for speed in speeds {
        assert!((97..=103).contains(&speed.slowdown_percent()), "{}", speed.slowdown_percent());
    }
    assert!((196..=204).contains(&line.sent("low")));
    assert_eq!(line.sent("exact"), 100);
}

/// Guards against tasks that are stopped before the client's estimate: an agent may stop a run that
/// takes three times the sent estimate.
#[test]
fn sent_estimate_allows_for_the_estimate_of_the_client() {
    let mut line = Line::new(3, Policy::default());
    line.run("q", 100, TaskEnd::Done, 1);
    assert_eq!(line.sent("q"), 33);
    let short = job(1, 1);
    for start in line.submit("q", short) {
        assert_eq!(start.2.estimated_ms, 1, "0 would be an unknown estimate");
        line.end(&start, TaskEnd::Done, 1);
    }
}

/// Guards against an overflow of the sent estimate.
#[test]
fn longest_estimate_stays_in_range() {
    let mut line = Line::new(3, Policy::default());
    line.run("q", 100, TaskEnd::Done, 900);
    let request = JobRequest { objective: Duration::from_secs(1), ..job(1, u32::MAX) };
    let starts = line.submit("q", request);
    assert_eq!(starts[0].2.estimated_ms, u32::MAX);
}

/// Guards against decisions that change for callers whose estimates are accurate and whose targets
/// are equal.
#[test]
fn decisions_are_the_same_with_accurate_estimates_and_equal_targets() {
    let play = |run_times: bool| {
        let mut line = Line::new(5, Policy { run_times, ..Policy::default() });
        let mut starts = Vec::new();
        for number in 0..500_u32 {
            let estimate = 50 + number % 7 * 20;
            let count = 1 + number % 9;
            let of_job = line.submit("q", job(count, estimate));
            for start in &of_job {
                line.end(start, TaskEnd::Done, estimate);
            }
            starts.extend(of_job);
        }
        starts
    };
    let starts = play(true);
    assert!(starts.len() > 2_000, "{}", starts.len());
    assert_eq!(starts, play(false));
}

/// Guards against metrics that don't show whether predictions are right, on targets of any speed.
#[test]
fn errors_of_predictions_are_counted() {
    let mut line = Line::new(3, Policy::default());
    line.run("q", 50, TaskEnd::Done, 200);
    let errors = line.entry.dispatcher.prediction_errors();
    let (queue, error) = errors.iter().next().expect("a queue is known");
    assert_eq!((queue, error.count()), ("q", 50));
    // Twice the estimate before the queue is known, as predicted after that.
    assert!((error.sum() - 70.0).abs() < 1.5, "{}", error.sum());
}
