//! The planned stop of an entry: its steps, and the answers to its jobs.

mod support;

use std::time::Duration;

use dispatch::{Event, Outcome, PlannedStop, Reason, StopStatus, StopStep, StopTiming};
use model::{JobId, Time};
use proptest::prelude::*;
use wire::TaskEnd;

use support::{Entry, START, job};

const GRACE: Duration = Duration::from_secs(6);
const REFUSED: Outcome =
    Outcome::NotRun { reason: Reason::Draining, retry_after: Duration::from_secs(1) };
/// Nothing is in progress and the quiet period has passed.
const IDLE: StopStatus = StopStatus {
    failed_readiness_checks: 2,
    jobs: 0,
    busy_connections: 0,
    quiet_for: Duration::from_secs(9),
};

fn after(millis: u64) -> Time {
    START + Duration::from_millis(millis)
}

/// Polls a stop every 50 ms. Returns its steps with the time in milliseconds at which each was due.
fn steps(status: impl Fn(u64) -> StopStatus) -> Vec<(u64, StopStep)> {
    let mut stop = PlannedStop::new(StopTiming::within(GRACE), START);
    let mut steps = Vec::new();
    for age in (0..=GRACE.as_millis() as u64).step_by(50) {
        while let Some(step) = stop.next_step(after(age), &status(age)) {
            steps.push((age, step));
        }
    }
    steps
}

const ADMIT: StopStep = StopStep::AdmitOnlyJobsEndingBy(Time::from_millis(1_005_400));

#[test]
fn an_idle_entry_ends_once_the_balancer_has_noticed() {
    let status = |age| StopStatus {
        failed_readiness_checks: u32::from(age >= 200) + u32::from(age >= 1_200),
        ..IDLE
    };
    let expected = [(1_200, ADMIT), (1_300, StopStep::CloseListener), (1_350, StopStep::End)];
    assert_eq!(steps(status), expected);
}

#[test]
fn the_wait_for_a_balancer_that_does_not_ask_times_out() {
    let first = steps(|_| StopStatus { failed_readiness_checks: 0, ..IDLE })[0];
    assert_eq!(first, (2_400, ADMIT));
}

#[test]
fn the_listener_closes_after_a_quiet_period() {
    // The last request arrives after 1.7 s.
    let quiet = |age: u64| Duration::from_millis(age.saturating_sub(1_700));
    let steps = steps(|age| StopStatus { quiet_for: quiet(age), ..IDLE });
    assert_eq!(steps[1], (1_800, StopStep::CloseListener));
}

#[test]
fn an_entry_does_not_end_while_a_request_is_in_progress() {
    let reading = |age| StopStatus { busy_connections: usize::from(age < 4_000), ..IDLE };
    assert_eq!(steps(reading).last(), Some(&(4_050, StopStep::End)));
}

#[test]
fn jobs_still_open_near_the_end_are_answered_before_it() {
    let open = |age| StopStatus { jobs: 3, busy_connections: usize::from(age < 5_500), ..IDLE };
    let expected = [
        (0, ADMIT),
        (4_500, StopStep::CloseListener),
        (5_400, StopStep::AnswerAll),
        (5_500, StopStep::End),
    ];
    assert_eq!(steps(open), expected);
}

#[test]
fn a_client_that_does_not_read_its_answer_does_not_delay_the_end() {
    let stuck = |_| StopStatus { busy_connections: 1, ..IDLE };
    assert_eq!(steps(stuck).last(), Some(&(5_750, StopStep::End)));
}

#[test]
fn open_jobs_are_answered_and_their_tasks_stopped() {
    let mut entry = Entry::with_agents([3_200]);
    let running = entry.submit(job(2, 200));
    let mut waiting = job(2, 300);
    waiting.id = JobId::new("00000000000000b1");
    let not_run = entry.submit(waiting);
    assert_eq!(entry.take_starts().len(), 2, "the target is full");
    entry.handle(Event::AnswerAll);
    assert_eq!(entry.answer(running), Some(Outcome::MayHaveRun(Reason::Draining)));
    assert_eq!(entry.answer(not_run), Some(REFUSED));
    assert_eq!(entry.take_stops().len(), 2);
    assert_eq!(entry.dispatcher.active_jobs(), 0);
    let mut late = job(1, 20);
    late.id = JobId::new("00000000000000b2");
    let late = entry.submit(late);
    assert_eq!(entry.answer(late), Some(REFUSED), "no job is admitted any more");
    assert!(entry.take_starts().is_empty());
}

#[test]
fn jobs_that_may_outlast_the_entry_are_refused_at_once() {
    let mut entry = Entry::with_agents([16_000]);
    entry.handle(Event::AdmitOnlyJobsEndingBy(entry.now + Duration::from_millis(950)));
    let long = entry.submit(job(4, 556));
    assert_eq!(entry.answer(long), Some(REFUSED));
    let mut short = job(4, 180);
    short.id = JobId::new("00000000000000b1");
    let short = entry.submit(short);
    assert_eq!(entry.answer(short), None);
    assert_eq!(entry.take_starts().len(), 4);
    // Its client stops waiting before the entry ends.
    let mut impatient = job(4, 556);
    impatient.id = JobId::new("00000000000000b2");
    impatient.deadline = Duration::from_millis(900);
    let impatient = entry.submit(impatient);
    assert_eq!(entry.answer(impatient), None);
}

/// Guards against answering "not run" for a running job whose client lost the connection and
/// submitted the job again to the same stopping entry.
#[test]
fn a_running_job_resubmitted_to_a_stopping_entry_is_not_answered_not_run() {
    let mut entry = Entry::with_agents([16_000]);
    let first = entry.submit(job(1, 556));
    let starts = entry.take_starts();
    entry.handle(Event::AdmitOnlyJobsEndingBy(entry.now + Duration::from_millis(950)));
    let second = entry.submit(job(1, 556));
    assert_eq!(entry.answer(second), None, "the resubmission waits for the running job");
    entry.report_end(&starts[0], TaskEnd::Done);
    assert_eq!(entry.answer(first), Some(Outcome::Completed));
    assert_eq!(entry.answer(second), Some(Outcome::Completed));
}

#[test]
fn a_job_whose_first_run_is_being_stopped_may_have_run() {
    let mut entry = Entry::with_agents([16_000]);
    let first = entry.submit(job(1, 556));
    entry.take_starts();
    entry.handle(Event::ClientDisconnected(first));
    let second = entry.submit(job(1, 556));
    entry.handle(Event::AnswerAll);
    assert_eq!(entry.answer(second), Some(Outcome::MayHaveRun(Reason::Draining)));
    let third = entry.submit(job(1, 556));
    assert_eq!(entry.answer(third), Some(Outcome::MayHaveRun(Reason::Draining)));
    assert!(entry.take_starts().is_empty());
}

/// Guards against answering "not run" for a job that ran to its end while its resubmission waited
/// for it.
#[test]
fn a_resubmission_that_waited_for_the_first_run_may_have_run() {
    let mut entry = Entry::with_agents([16_000]);
    let first = entry.submit(job(1, 556));
    let starts = entry.take_starts();
    entry.handle(Event::ClientDisconnected(first));
    let second = entry.submit(job(1, 556));
    entry.handle(Event::AdmitOnlyJobsEndingBy(entry.now + Duration::from_millis(500)));
    entry.report_end(&starts[0], TaskEnd::Done);
    entry.run_for(50, &[(1, 16_000)]);
    assert_eq!(entry.answer(second), Some(Outcome::MayHaveRun(Reason::Draining)));
}

#[test]
fn a_job_resubmitted_right_after_a_pause_may_have_run() {
    let mut entry = Entry::with_agents([16_000]);
    let first = entry.submit(job(1, 2_000));
    assert_eq!(entry.take_starts().len(), 1);
    entry.now = entry.now + Duration::from_millis(500);
    entry.handle(Event::Tick);
    assert_eq!(entry.answer(first), Some(Outcome::MayHaveRun(Reason::Paused)));
    entry.now = entry.now + Duration::from_millis(5);
    let second = entry.submit(job(1, 2_000));
    assert_eq!(entry.answer(second), Some(Outcome::MayHaveRun(Reason::Paused)));
}

#[test]
fn a_stalled_entry_still_has_time_to_send_its_answers() {
    let mut stop = PlannedStop::new(StopTiming::within(GRACE), START);
    let open = StopStatus { jobs: 3, busy_connections: 3, quiet_for: Duration::ZERO, ..IDLE };
    assert_eq!(stop.next_step(after(1_200), &open), Some(ADMIT));
    assert_eq!(stop.next_step(after(4_520), &open), Some(StopStep::CloseListener));
    // The entry is stalled from here on, within the grace period.
    assert_eq!(stop.next_step(after(5_780), &open), Some(StopStep::AnswerAll));
    let unwritten = StopStatus { jobs: 0, ..open };
    assert_eq!(stop.next_step(after(5_800), &unwritten), None);
    assert_eq!(stop.next_step(after(5_820), &unwritten), Some(StopStep::End));
}

#[test]
fn a_short_grace_period_keeps_the_steps_in_order_and_leaves_time_for_jobs() {
    for millis in [1_000, 2_000, 3_000, 6_000, 600_000] {
        let timing = StopTiming::within(Duration::from_millis(millis));
        let steps = [
            timing.notice_timeout,
            timing.close_listener_after,
            timing.answer_all_after,
            timing.end_after,
        ];
        assert!(steps.is_sorted_by(|a, b| a < b), "{timing:?}");
        assert!(timing.end_after < Duration::from_millis(millis));
        assert!(timing.close_listener_after >= Duration::from_millis(millis) / 2, "{timing:?}");
    }
}

proptest! {
    /// With any input, a stop ends within the grace period, does not end early while a request is
    /// in progress, and leaves no job unanswered.
    #[test]
    fn every_stop_ends_in_time_and_after_its_requests(
        observations in prop::collection::vec((0u32..4, 0usize..3, 0usize..3, 0u64..1_000), 121),
        grace_s in 1u64..30,
    ) {
        let grace = Duration::from_secs(grace_s);
        let timing = StopTiming::within(grace);
        let mut stop = PlannedStop::new(timing, START);
        let mut answered = false;
        let mut ended = None;
        for (index, (failed_checks, jobs, open, quiet)) in observations.iter().enumerate() {
            let age = grace.mul_f64(index as f64 / 120.0);
            let jobs = if answered { 0 } else { *jobs };
            let quiet_for = Duration::from_millis(*quiet);
            let status = StopStatus {
                failed_readiness_checks: *failed_checks,
                jobs,
                busy_connections: *open,
                quiet_for,
            };
            while let Some(step) = stop.next_step(START + age, &status) {
                prop_assert!(ended.is_none(), "no step follows the end");
                match step {
                    StopStep::AnswerAll => answered = true,
                    StopStep::End => {
                        ended = Some(age);
                        prop_assert!(jobs == 0 || answered);
                        prop_assert!(*open == 0 || age >= timing.end_after);
                    }
                    _ => {}
                }
            }
        }
        prop_assert!(ended.is_some_and(|age| age <= grace), "{ended:?}");
    }
}
