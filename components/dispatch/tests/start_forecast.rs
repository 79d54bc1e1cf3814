//! Jobs that are refused or kept waiting because of their predicted start.

mod support;

use std::sync::Arc;
use std::time::Duration;

use dispatch::{
    Action, CallId, Dispatcher, Event, JobRequest, LogEvent, Outcome, Policy, Reason, SessionId,
    StartReason, Timing,
};
use model::JobId;

use support::{Entry, START, job};

/// Interval between the ends of tasks at the target.
const STEP: Duration = Duration::from_millis(10);

/// An entry with one target at which capacity for some tasks becomes free in each step. Clients
/// submit jobs of one task with an estimate of `ESTIMATE_MS`.
struct Overload {
    entry: Entry,
    next_job: u64,
}

const ESTIMATE_MS: u32 = 1_000;

impl Overload {
    fn new(policy: Policy) -> Self {
        let mut entry = Entry::new();
        entry.dispatcher = Dispatcher::new(Timing::default(), START).with_policy(policy);
        entry.add_agent(1, 0, &[]);
        Self { entry, next_job: 1 }
    }

    fn request(&mut self, count: u32, priority: u8) -> JobRequest {
        let id = JobId::new(&format!("{:016x}", self.next_job));
        self.next_job += 1;
        JobRequest { id, priority, ..job(count, ESTIMATE_MS) }
    }

    fn submit(&mut self, count: u32) -> CallId {
        let request = self.request(count, 0);
        self.entry.submit(request)
    }

    /// Advances one step in which `starts` tasks find capacity.
    fn step(&mut self, starts: u64) {
        self.entry.now = self.entry.now + STEP;
        self.entry.report_load(1, starts * 1_600);
        self.entry.report_load(1, 0);
        self.entry.handle(Event::Tick);
    }

    /// Plays a second in which `starts` tasks find capacity in each step and one more is submitted.
    fn play_overload(&mut self, starts: u64) {
        for _ in 0..100 {
            (0..=starts).for_each(|_| {
                self.submit(1);
            });
            self.step(starts);
        }
    }

    fn is_refused(&self, call: CallId) -> bool {
        let answer = self.entry.answer(call);
        matches!(answer, Some(Outcome::NotRun { reason: Reason::NoCapacity, .. }))
    }
}

fn without_forecast() -> Policy {
    Policy { start_forecast: false, ..Policy::default() }
}

/// Guards against a job that waits for a fifth of its objective although it can't be in time.
#[test]
fn a_job_that_cannot_be_in_time_is_answered_on_arrival() {
    let mut overload = Overload::new(Policy::default());
    overload.play_overload(1);
    let long = overload.submit(500);
    assert!(overload.is_refused(long), "500 tasks take 5 s at 100 tasks a second");

    let mut overload = Overload::new(without_forecast());
    overload.play_overload(1);
    let long = overload.submit(500);
    assert_eq!(overload.entry.answer(long), None);
}

/// Guards against refusals without a reason in the log, and against a refused job that was told no
/// planned time to return.
#[test]
fn a_refusal_on_arrival_gives_its_reason() {
    let mut overload = Overload::new(Policy::default());
    overload.play_overload(1);
    let request = overload.request(500, 0);
    let mut actions = Vec::new();
    let now = overload.entry.now;
    overload.entry.dispatcher.handle(now, Event::Submit(CallId(9_999), request), &mut actions);
    let refused = actions.iter().find_map(|action| match action {
        Action::Log(LogEvent::Refused { reason, forecast, .. }) => Some((*reason, *forecast)),
        _ => None,
    });
    let Some((Reason::NoCapacity, Some(forecast))) = refused else { panic!("{refused:?}") };
    let StartReason { tasks_ahead, slack_ms, expected_wait_ms } = forecast;
    assert!((50..150).contains(&tasks_ahead), "{tasks_ahead}");
    assert_eq!(slack_ms, 645);
    assert!(expected_wait_ms.is_some_and(|wait| (5_000..8_000).contains(&wait)));
    let retry_after = actions.iter().find_map(|action| match action {
        Action::Answer(_, Outcome::NotRun { retry_after, .. }) => Some(*retry_after),
        _ => None,
    });
    assert!(retry_after.is_some_and(|after| after.as_secs() > 0 && after.subsec_nanos() == 0));
}

/// Guards against a refusal at the fixed bound of a job that can be in time while capacity comes
/// and no other job waits for it.
#[test]
fn a_job_that_can_be_in_time_is_not_refused_while_capacity_comes() {
    let play = |policy| {
        let mut overload = Overload::new(policy);
        overload.play_overload(2);
        // The objective is 1,660 ms and the fixed bound 332 ms. No capacity comes until then.
        let call = overload.submit(1);
        for _ in 0..35 {
            overload.step(0);
        }
        let refused_at_bound = overload.is_refused(call);
        overload.entry.take_starts();
        overload.step(1);
        (refused_at_bound, overload.entry.take_starts().len())
    };
    assert_eq!(play(without_forecast()), (true, 0));
    assert_eq!(play(Policy::default()), (false, 1));
}

/// Guards against refusals of jobs that the jobs ahead of them leave in time, and against a longer
/// wait of one job that takes the capacity from jobs behind it.
#[test]
fn in_an_overload_of_small_jobs_as_many_are_served_with_the_forecast_as_without() {
    let play = |policy| {
        let mut overload = Overload::new(policy);
        overload.play_overload(1);
        let calls: Vec<CallId> = (0..100)
            .map(|_| {
                let call = overload.submit(1);
                overload.submit(1);
                overload.step(1);
                call
            })
            .collect();
        calls.into_iter().filter(|call| overload.is_refused(*call)).count()
    };
    assert_eq!(play(Policy::default()), play(without_forecast()));
}

/// Guards against refusals on a guess: after a restart no rate is known, however much work waits.
#[test]
fn after_a_restart_no_job_is_refused_on_a_guess() {
    let mut overload = Overload::new(Policy::default());
    let calls: Vec<CallId> = (0..300).map(|_| overload.submit(1)).collect();
    let long = overload.submit(500);
    // Less than the fixed bound.
    for _ in 0..30 {
        overload.step(1);
    }
    assert!(calls.iter().all(|call| overload.entry.answer(*call).is_none()));
    assert_eq!(overload.entry.answer(long), None);
}

/// Guards against a rate from before an agent connected that refuses jobs which its target can run.
#[test]
fn after_an_agent_connected_no_job_is_refused_on_arrival() {
    let mut overload = Overload::new(Policy::default());
    overload.play_overload(1);
    overload.entry.add_agent(2, 0, &[]);
    let call = overload.submit(500);
    assert_eq!(overload.entry.answer(call), None);
}

/// Guards against the refusal of a job whose tasks fit on a target now.
#[test]
fn a_job_that_finds_free_capacity_is_not_refused_by_forecast() {
    let mut overload = Overload::new(Policy::default());
    overload.play_overload(1);
    let mut request = overload.request(500, 0);
    request.shape.resources.cpu_milli = 100;
    // Too little for the tasks that wait.
    overload.entry.report_load(1, 1_500);
    let call = overload.entry.submit(request);
    assert_eq!(overload.entry.answer(call), None);
}

/// Guards against work of one service that delays jobs of another.
#[test]
fn work_for_other_targets_does_not_count() {
    let mut overload = Overload::new(Policy::default());
    overload.play_overload(1);
    let mut request = overload.request(500, 0);
    request.service = Arc::from("other");
    let call = overload.entry.submit(request);
    assert_eq!(overload.entry.answer(call), None);
}

/// Guards against a false "not run" for a job of which a task was placed.
#[test]
fn a_job_with_a_placed_task_is_not_refused_by_forecast() {
    let mut overload = Overload::new(Policy::default());
    overload.entry.report_load(1, 1_600);
    let call = overload.submit(500);
    assert_eq!(overload.entry.take_starts().len(), 1);
    for _ in 0..100 {
        overload.submit(1);
        overload.step(1);
    }
    assert_eq!(overload.entry.answer(call), None);
}

/// Guards against a forecast that does not see that a target was cut off.
#[test]
fn after_the_loss_of_all_targets_no_rate_is_assumed() {
    let mut overload = Overload::new(Policy::default());
    overload.play_overload(1);
    overload.entry.handle(Event::AgentClosed(SessionId(1)));
    for _ in 0..60 {
        overload.entry.now = overload.entry.now + STEP;
        overload.entry.handle(Event::Tick);
    }
    let call = overload.submit(500);
    assert_eq!(overload.entry.answer(call), None, "capacity is not known to be short");
}

/// Guards against a less urgent queue that is refused or never served because of the forecast.
#[test]
fn a_less_urgent_queue_is_served_with_the_forecast_as_without() {
    let served = |policy| {
        let mut overload = Overload::new(policy);
        let mut started = 0;
        for step in 0..300_u32 {
            overload.submit(1);
            if step % 2 == 0 {
                let mut request = overload.request(1, 1);
                request.queue = Arc::from("less urgent");
                overload.entry.submit(request);
            }
            // Capacity for the urgent jobs and for a fifth of the others.
            overload.step(if step % 10 == 0 { 2 } else { 1 });
            let starts = overload.entry.take_starts();
            started += starts.iter().filter(|(.., task)| task.priority == 1).count();
        }
        started
    };
    let (without, with) = (served(without_forecast()), served(Policy::default()));
    assert!(without > 20 && with + 2 >= without, "{without} without, {with} with");
}
