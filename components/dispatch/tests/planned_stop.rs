//! The planned stop of an entry: its steps, and what becomes of jobs.

mod support;

use std::time::Duration;

use dispatch::{Event, Outcome, PlannedStop, Reason, StopStatus, StopStep, StopTiming};
use model::{JobId, Time};
use proptest::prelude::*;
use wire::TaskEnd;

use support::{Entry, START, job};

const GRACE: Duration = Duration::from_secs(6);
const ELSEWHERE: Outcome =
    Outcome::NotRun { reason: Reason::Draining, retry_after: Duration::from_secs(1) };
/// Nothing is under way, and nothing has come for long.
const NOTHING: StopStatus =
    StopStatus { notices: 2, jobs: 0, busy_connections: 0, quiet_for: Duration::from_secs(9) };

fn after(millis: u64) -> Time {
    START + Duration::from_millis(millis)
}

/// The steps of a stop that is looked at every 50 ms, with the age in ms at which each is due.
fn steps(view: impl Fn(u64) -> StopStatus) -> Vec<(u64, StopStep)> {
    let mut stop = PlannedStop::new(StopTiming::within(GRACE), START);
    let mut steps = Vec::new();
    for age in (0..=GRACE.as_millis() as u64).step_by(50) {
        while let Some(step) = stop.next_step(after(age), &view(age)) {
            steps.push((age, step));
        }
    }
    steps
}

const TAKE: StopStep = StopStep::AdmitOnlyJobsEndingBy(Time::from_millis(1_005_400));

#[test]
fn an_entry_with_nothing_to_do_ends_once_the_balancer_has_noticed() {
    let told =
        |age| StopStatus { notices: u32::from(age >= 200) + u32::from(age >= 1_200), ..NOTHING };
    let expected = [(1_200, TAKE), (1_300, StopStep::CloseListener), (1_350, StopStep::End)];
    assert_eq!(steps(told), expected);
}

#[test]
fn a_balancer_that_does_not_ask_is_not_waited_for() {
    let first = steps(|_| StopStatus { notices: 0, ..NOTHING })[0];
    assert_eq!(first, (2_400, TAKE));
}

#[test]
fn requests_are_taken_until_none_has_come_for_a_while() {
    // The last request comes after 1.7 s.
    let quiet = |age: u64| Duration::from_millis(age.saturating_sub(1_700));
    let steps = steps(|age| StopStatus { quiet_for: quiet(age), ..NOTHING });
    assert_eq!(steps[1], (1_800, StopStep::CloseListener));
}

#[test]
fn an_entry_does_not_end_while_a_request_is_under_way() {
    let reading = |age| StopStatus { busy_connections: usize::from(age < 4_000), ..NOTHING };
    assert_eq!(steps(reading).last(), Some(&(4_050, StopStep::End)));
}

#[test]
fn what_is_open_near_the_end_is_answered_before_it() {
    let open = |age| StopStatus { jobs: 3, busy_connections: usize::from(age < 5_500), ..NOTHING };
    let expected = [
        (0, TAKE),
        (4_500, StopStep::CloseListener),
        (5_400, StopStep::AnswerAll),
        (5_500, StopStep::End),
    ];
    assert_eq!(steps(open), expected);
}

#[test]
fn a_client_that_does_not_read_its_answer_holds_up_nothing() {
    let stuck = |_| StopStatus { busy_connections: 1, ..NOTHING };
    assert_eq!(steps(stuck).last(), Some(&(5_750, StopStep::End)));
}

#[test]
fn open_jobs_get_their_final_answers_and_their_tasks_are_stopped() {
    let mut entry = Entry::with_agents([3_200]);
    let running = entry.submit(job(2, 200));
    let mut waits = job(2, 300);
    waits.id = JobId::new("00000000000000b1");
    let untouched = entry.submit(waits);
    assert_eq!(entry.starts().len(), 2, "the target is full");
    entry.handle(Event::AnswerAll);
    assert_eq!(entry.answer(running), Some(Outcome::MayHaveRun(Reason::Draining)));
    assert_eq!(entry.answer(untouched), Some(ELSEWHERE));
    assert_eq!(entry.stops().len(), 2);
    assert_eq!(entry.dispatcher.active_jobs(), 0);
    let mut late = job(1, 20);
    late.id = JobId::new("00000000000000b2");
    let late = entry.submit(late);
    assert_eq!(entry.answer(late), Some(ELSEWHERE), "nothing is taken any more");
    assert!(entry.starts().is_empty());
}

#[test]
fn what_does_not_surely_end_before_the_entry_is_rejected_at_once() {
    let mut entry = Entry::with_agents([16_000]);
    entry.handle(Event::AdmitOnlyJobsEndingBy(entry.now + Duration::from_millis(950)));
    let long = entry.submit(job(4, 556));
    assert_eq!(entry.answer(long), Some(ELSEWHERE));
    let mut short = job(4, 180);
    short.id = JobId::new("00000000000000b1");
    let short = entry.submit(short);
    assert_eq!(entry.answer(short), None);
    assert_eq!(entry.starts().len(), 4);
    // Its client waits no longer than the entry is there.
    let mut impatient = job(4, 556);
    impatient.id = JobId::new("00000000000000b2");
    impatient.deadline = Duration::from_millis(900);
    let impatient = entry.submit(impatient);
    assert_eq!(entry.answer(impatient), None);
}

/// "Not run" was said of a job that ran: a client lost its connection to a stopping entry and sent
/// the job again, to the same entry, which had no time left for a new one.
#[test]
fn a_job_that_comes_again_to_a_stopping_entry_is_not_said_not_to_have_run() {
    let mut entry = Entry::with_agents([16_000]);
    let first = entry.submit(job(1, 556));
    let starts = entry.starts();
    entry.handle(Event::AdmitOnlyJobsEndingBy(entry.now + Duration::from_millis(950)));
    let second = entry.submit(job(1, 556));
    assert_eq!(entry.answer(second), None, "it waits for the job that runs");
    entry.report(&starts[0], TaskEnd::Done);
    assert_eq!(entry.answer(first), Some(Outcome::Completed));
    assert_eq!(entry.answer(second), Some(Outcome::Completed));
}

#[test]
fn a_job_whose_first_try_is_being_stopped_may_have_run() {
    let mut entry = Entry::with_agents([16_000]);
    let first = entry.submit(job(1, 556));
    entry.starts();
    entry.handle(Event::Abandon(first));
    let second = entry.submit(job(1, 556));
    entry.handle(Event::AnswerAll);
    assert_eq!(entry.answer(second), Some(Outcome::MayHaveRun(Reason::Draining)));
    let third = entry.submit(job(1, 556));
    assert_eq!(entry.answer(third), Some(Outcome::MayHaveRun(Reason::Draining)));
    assert!(entry.starts().is_empty());
}

/// "Not run" was said of a job that ran to its end: its client had left and sent it again, and the second try
/// waited for the end of the first when the entry was told to stop.
#[test]
fn a_second_try_that_waited_for_the_end_of_the_first_may_have_run() {
    let mut entry = Entry::with_agents([16_000]);
    let first = entry.submit(job(1, 556));
    let starts = entry.starts();
    entry.handle(Event::Abandon(first));
    let second = entry.submit(job(1, 556));
    entry.handle(Event::AdmitOnlyJobsEndingBy(entry.now + Duration::from_millis(500)));
    entry.report(&starts[0], TaskEnd::Done);
    entry.run_for(50, &[(1, 16_000)]);
    assert_eq!(entry.answer(second), Some(Outcome::MayHaveRun(Reason::Draining)));
}

#[test]
fn a_job_that_comes_again_right_after_a_pause_of_the_process_may_have_run() {
    let mut entry = Entry::with_agents([16_000]);
    let first = entry.submit(job(1, 2_000));
    assert_eq!(entry.starts().len(), 1);
    entry.now = entry.now + Duration::from_millis(500);
    entry.handle(Event::Tick);
    assert_eq!(entry.answer(first), Some(Outcome::MayHaveRun(Reason::Paused)));
    entry.now = entry.now + Duration::from_millis(5);
    let second = entry.submit(job(1, 2_000));
    assert_eq!(entry.answer(second), Some(Outcome::MayHaveRun(Reason::Paused)));
}

#[test]
fn final_answers_have_time_to_leave_though_the_entry_was_held_up() {
    let mut stop = PlannedStop::new(StopTiming::within(GRACE), START);
    let open = StopStatus { jobs: 3, busy_connections: 3, quiet_for: Duration::ZERO, ..NOTHING };
    assert_eq!(stop.next_step(after(1_200), &open), Some(TAKE));
    assert_eq!(stop.next_step(after(4_520), &open), Some(StopStep::CloseListener));
    // Held up from here on; the platform's time is not over.
    assert_eq!(stop.next_step(after(5_780), &open), Some(StopStep::AnswerAll));
    let unwritten = StopStatus { jobs: 0, ..open };
    assert_eq!(stop.next_step(after(5_800), &unwritten), None);
    assert_eq!(stop.next_step(after(5_820), &unwritten), Some(StopStep::End));
}

#[test]
fn a_short_grace_leaves_jobs_most_of_it() {
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
    /// Whatever a stopping entry sees: it never ends while a request is under way, but at its latest
    /// time; it ends within what the platform grants; and no job is open at its end that was not
    /// answered.
    #[test]
    fn every_stop_ends_in_time_and_after_its_requests(
        views in prop::collection::vec((0u32..4, 0usize..3, 0usize..3, 0u64..1_000), 121),
        grace_s in 1u64..30,
    ) {
        let grace = Duration::from_secs(grace_s);
        let timing = StopTiming::within(grace);
        let mut stop = PlannedStop::new(timing, START);
        let mut answered = false;
        let mut ended = None;
        for (index, (notices, jobs, open, quiet)) in views.iter().enumerate() {
            let age = grace.mul_f64(index as f64 / 120.0);
            let jobs = if answered { 0 } else { *jobs };
            let quiet_for = Duration::from_millis(*quiet);
            let view = StopStatus { notices: *notices, jobs, busy_connections: *open, quiet_for };
            while let Some(step) = stop.next_step(START + age, &view) {
                prop_assert!(ended.is_none(), "nothing after the end");
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
