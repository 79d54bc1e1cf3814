//! Retry delays assigned to refused clients.

use std::time::Duration;

use admission::{MAX_RETRY_AFTER, ReturnSchedule};
use model::Time;

const START: Time = Time::from_millis(1_000_000);
const SECOND: Duration = Duration::from_secs(1);
/// Work per second in the tests, in core-seconds.
const THROUGHPUT: f64 = 100.0;

/// A schedule of an entry that has completed `THROUGHPUT` in each second for a while.
fn schedule() -> (ReturnSchedule, Time) {
    let mut schedule = ReturnSchedule::default();
    let mut now = START;
    for _ in 0..30 {
        schedule.record_done(now, THROUGHPUT);
        now = now + SECOND;
    }
    (schedule, now)
}

/// Books `count` jobs of one core-second and returns their number by delay in seconds.
fn book(schedule: &mut ReturnSchedule, now: Time, count: u32, priority: u8) -> Vec<u32> {
    let mut by_second = vec![0; MAX_RETRY_AFTER.as_secs() as usize + 1];
    for _ in 0..count {
        by_second[schedule.book(now, 1.0, priority).as_secs() as usize] += 1;
    }
    by_second
}

/// Guards against refused clients that return together and overload the fleet again.
#[test]
fn returning_work_stays_below_the_throughput() {
    let (mut schedule, now) = schedule();
    let by_second = book(&mut schedule, now, 300, 0);
    assert_eq!(by_second[0], 0, "a client never returns at once");
    assert!(by_second.iter().all(|count| f64::from(*count) <= THROUGHPUT), "{by_second:?}");
    assert!(by_second[1] >= 70 && by_second[2] >= 70 && by_second[3] >= 70, "{by_second:?}");
}

/// Guards against less urgent clients that take the seconds in which urgent ones could return.
#[test]
fn urgent_clients_return_first() {
    let (mut schedule, now) = schedule();
    book(&mut schedule, now, 200, 1);
    let urgent = book(&mut schedule, now, 25, 0);
    assert_eq!(urgent[1], 25, "{urgent:?}");
}

/// Guards against delays beyond the maximum, and against work piled onto one second, when more is
/// refused than the schedule has capacity for.
#[test]
fn excess_work_is_spread_evenly() {
    let (mut schedule, now) = schedule();
    let by_second = book(&mut schedule, now, 1_600, 0);
    assert!(by_second[1..].iter().all(|count| (190..=210).contains(count)), "{by_second:?}");
}

/// Guards against seconds that stay booked after they have passed.
#[test]
fn booked_seconds_pass() {
    let (mut schedule, now) = schedule();
    book(&mut schedule, now, 160, 0);
    schedule.record_done(now, THROUGHPUT);
    let later = book(&mut schedule, now + SECOND * 2, 10, 0);
    assert_eq!(later[1], 10, "{later:?}");
}

/// Guards against a schedule of a new entry that sends all clients back in the same second.
#[test]
fn without_known_throughput_clients_are_spread() {
    let by_second = book(&mut ReturnSchedule::default(), START, 80, 1);
    assert!(by_second[1..].iter().all(|count| *count == 10), "{by_second:?}");
}
