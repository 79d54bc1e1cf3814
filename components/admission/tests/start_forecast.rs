//! Predicted starts of jobs, and when a prediction is certain.

use std::sync::Arc;
use std::time::Duration;

use admission::{JobNeed, StartForecast, StartVerdict, WorkAhead};
use model::Time;

const START: Time = Time::from_millis(1_000_000);
const TASK_CPU: u64 = 1_600;
const RUN_TIME: Duration = Duration::from_millis(100);

fn at(millis: u64) -> Time {
    START + Duration::from_millis(millis)
}

/// Places `per_100_ms` tasks of the queue "q" in each 100 ms of the given period.
fn place(forecast: &mut StartForecast, millis: std::ops::Range<u64>, per_100_ms: u64) {
    place_in("q", forecast, millis, per_100_ms);
}

fn place_in(
    queue: &str,
    forecast: &mut StartForecast,
    millis: std::ops::Range<u64>,
    per_100_ms: u64,
) {
    let queue: Arc<str> = Arc::from(queue);
    for interval in millis.step_by(100) {
        for number in 0..per_100_ms {
            let now = at(interval + number * 100 / per_100_ms);
            forecast.record_placement(now, &queue, TASK_CPU, RUN_TIME);
        }
    }
}

/// A forecast of an entry at which tasks have been waiting and starting for a second, 200 of them
/// in a second.
fn steady() -> StartForecast {
    let mut forecast = StartForecast::default();
    forecast.update_backlog(at(0), true);
    place(&mut forecast, 0..1_000, 20);
    forecast
}

/// Tasks of jobs that have started.
fn ahead(tasks: usize) -> WorkAhead {
    let cpu_milli = tasks as u64 * TASK_CPU;
    WorkAhead { tasks, cpu_milli, started_cpu_milli: cpu_milli }
}

/// A job of one task that has just arrived.
fn need(slack_ms: u64) -> JobNeed {
    let slack = Duration::from_millis(slack_ms);
    JobNeed { cpu_milli: TASK_CPU, waited: Duration::ZERO, min_slack: slack, max_slack: slack }
}

fn verdict(forecast: &StartForecast, now_ms: u64, tasks: usize, slack_ms: u64) -> StartVerdict {
    forecast.verdict(at(now_ms), "q", ahead(tasks), need(slack_ms), || false)
}

/// Guards against a prediction that is not the work ahead divided by the measured rate.
#[test]
fn the_start_is_predicted_from_the_work_ahead_and_the_rate() {
    let forecast = steady();
    let wait = Duration::from_millis(100);
    assert_eq!(verdict(&forecast, 1_000, 19, 90), StartVerdict::TooLate { wait });
    assert_eq!(verdict(&forecast, 1_000, 19, 110), StartVerdict::Uncertain { wait: Some(wait) });
    assert_eq!(verdict(&forecast, 1_000, 19, 300), StartVerdict::InTime { wait });
    let reason = verdict(&forecast, 1_000, 19, 90).reason(ahead(19), need(90));
    assert_eq!((reason.tasks_ahead, reason.slack_ms), (19, 90));
    assert_eq!(reason.expected_wait_ms, Some(100));
}

/// Guards against the refusal of a job for which a target has free capacity.
#[test]
fn a_job_that_fits_now_is_not_too_late() {
    let fits = steady().verdict(at(1_000), "q", ahead(100), need(90), || true);
    assert_eq!(fits, StartVerdict::StartsNow);
}

/// Guards against refusals on a guess: after a restart, with few placements, or with placements
/// that show the demand because nothing was waiting.
#[test]
fn without_enough_placements_while_tasks_wait_nothing_is_certain() {
    let unknown = StartVerdict::Uncertain { wait: None };
    assert_eq!(verdict(&StartForecast::default(), 1_000, 1_000, 1), unknown);

    let mut few = StartForecast::default();
    few.update_backlog(at(0), true);
    place(&mut few, 500..1_000, 3);
    assert_eq!(verdict(&few, 1_000, 1_000, 1), unknown);

    let mut without_backlog = StartForecast::default();
    place(&mut without_backlog, 0..1_000, 20);
    without_backlog.update_backlog(at(999), true);
    assert_eq!(verdict(&without_backlog, 1_000, 1_000, 1), unknown);

    let mut interrupted = steady();
    interrupted.update_backlog(at(900), false);
    interrupted.update_backlog(at(950), true);
    assert_eq!(verdict(&interrupted, 1_000, 1_000, 1), unknown);
}

/// Guards against refusals because of a rate from before targets came back.
#[test]
fn after_capacity_grew_nothing_is_certain_until_the_window_has_passed() {
    let mut forecast = steady();
    forecast.record_capacity_growth(at(1_000));
    place(&mut forecast, 1_000..1_600, 40);
    let unknown = StartVerdict::Uncertain { wait: None };
    assert_eq!(verdict(&forecast, 1_400, 1_000, 1), unknown);
    assert!(matches!(verdict(&forecast, 1_500, 1_000, 1), StartVerdict::TooLate { .. }));
}

/// Guards against a forecast that still counts the targets that were cut off: within its window it
/// has to reflect the lower rate.
#[test]
fn the_forecast_follows_a_loss_of_targets_within_its_window() {
    let mut forecast = steady();
    assert!(matches!(verdict(&forecast, 1_000, 29, 260), StartVerdict::Uncertain { .. }));
    place(&mut forecast, 1_000..1_500, 10);
    let wait = Duration::from_millis(300);
    assert_eq!(verdict(&forecast, 1_500, 29, 260), StartVerdict::TooLate { wait });
}

/// Guards against refusals because of a brief pause in placements.
#[test]
fn a_refusal_uses_the_highest_rate_in_the_window() {
    let mut forecast = StartForecast::default();
    forecast.update_backlog(at(0), true);
    place(&mut forecast, 500..600, 40);
    place(&mut forecast, 600..1_000, 10);
    // At the mean rate, the last task would start after 250 ms; at the highest, after 100 ms.
    assert!(matches!(verdict(&forecast, 1_000, 39, 120), StartVerdict::Uncertain { .. }));
    assert!(matches!(verdict(&forecast, 1_000, 39, 90), StartVerdict::TooLate { .. }));
}

/// Guards against the refusal of a job behind others that will be refused before it.
#[test]
fn work_ahead_that_may_be_refused_does_not_make_a_job_too_late() {
    let unstarted = WorkAhead { started_cpu_milli: 0, ..ahead(1_000) };
    let verdict = steady().verdict(at(1_000), "q", unstarted, need(90), || false);
    assert!(matches!(verdict, StartVerdict::Uncertain { wait: Some(_) }), "{verdict:?}");
}

/// Guards against a forecast that starves a queue: one with less than a tenth of the placed work is
/// not refused by forecast.
#[test]
fn a_queue_with_less_than_a_tenth_of_the_work_is_not_refused_by_forecast() {
    let mut forecast = steady();
    place_in("minor", &mut forecast, 500..1_000, 1);
    let of = |queue| forecast.verdict(at(1_000), queue, ahead(1_000), need(90), || false);
    assert!(matches!(of("q"), StartVerdict::TooLate { .. }));
    assert!(matches!(of("minor"), StartVerdict::Uncertain { .. }));
    assert!(matches!(of("new"), StartVerdict::Uncertain { .. }));
}

/// Guards against longer waits that turn refusals into late answers or into refusals of
/// others.
#[test]
fn only_a_job_in_time_waits_longer_and_only_if_nothing_waits_behind_it() {
    let wait = Duration::from_millis(10);
    assert!(StartVerdict::InTime { wait }.allows_longer_wait(false));
    assert!(!StartVerdict::InTime { wait }.allows_longer_wait(true));
    for verdict in [
        StartVerdict::Uncertain { wait: None },
        StartVerdict::Uncertain { wait: Some(wait) },
        StartVerdict::TooLate { wait },
    ] {
        assert!(!verdict.allows_longer_wait(false), "{verdict:?}");
    }
    // A job that has used up the slack it would have with a wrong estimate isn't predicted in time.
    let late = JobNeed { waited: Duration::from_millis(200), ..need(290) };
    let verdict = steady().verdict(at(1_000), "q", ahead(0), late, || false);
    assert!(matches!(verdict, StartVerdict::Uncertain { .. }));
}
