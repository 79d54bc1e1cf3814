//! Assigns retry delays to rejected clients.
//!
//! If all clients got the same delay, they would return together, overload the fleet again and
//! displace new clients. So each client is assigned the first second for which the returning work
//! is below a fraction of this entry's throughput.

use std::collections::VecDeque;
use std::time::Duration;

use model::Time;

use crate::event::{JobRequest, Outcome, Reason};

/// Unit of the `Retry-After` header.
const SECOND: Duration = Duration::from_secs(1);
/// Maximum delay in seconds. Clients would rather give up than wait longer, and the current load
/// says little about a later one.
const MAX_DELAY_SECONDS: usize = 8;
/// Maximum retry delay.
pub(crate) const MAX_RETRY_AFTER: Duration = Duration::from_secs(MAX_DELAY_SECONDS as u64);
/// Fraction of the throughput that may be assigned to each second.
const RETRY_FRACTION: f64 = 0.8;
/// Fraction of that share that is open to all priorities. The rest is kept for the most urgent
/// clients, so that they return first.
const COMMON_FRACTION: f64 = 0.6;
/// Weight of the last second in the moving average of the throughput, which then covers about three
/// seconds.
const RATE_SMOOTHING: f64 = 0.3;

/// The work that rejected clients are expected to submit again, by second.
#[derive(Debug, Default)]
pub(crate) struct RetrySchedule {
    /// The current second since the epoch of the clock.
    second: u64,
    /// Work assigned to the following seconds, the next one first, in core-seconds.
    booked: VecDeque<f64>,
    /// Work completed in the current second, in core-seconds.
    done: f64,
    /// Moving average of the work completed per second, in core-seconds.
    rate: f64,
}

impl RetrySchedule {
    /// Records the outcome of a job. A job that was refused for lack of capacity or time gets a
    /// retry delay.
    pub fn record_outcome(&mut self, now: Time, request: &JobRequest, outcome: Outcome) -> Outcome {
        match outcome {
            Outcome::Completed => self.record_done(now, request.estimated_work()),
            Outcome::NotRun {
                reason: reason @ (Reason::NoCapacity | Reason::Deadline), ..
            } => {
                let retry_after = self.book(now, request.estimated_work(), request.priority);
                return Outcome::NotRun { reason, retry_after };
            }
            _ => {}
        }
        outcome
    }

    fn record_done(&mut self, now: Time, work: f64) {
        self.advance(now);
        self.done += work;
    }

    /// Assigns rejected work to the first second whose limit allows it, or else to the least
    /// booked one. Returns the delay until then.
    fn book(&mut self, now: Time, work: f64, priority: u8) -> Duration {
        self.advance(now);
        let share = self.rate.max(self.done) * RETRY_FRACTION;
        let limit = if priority == 0 { share } else { share * COMMON_FRACTION };
        let first = (0..MAX_DELAY_SECONDS).find(|second| self.booked_in(*second) + work <= limit);
        let second = first.unwrap_or_else(|| self.least_booked());
        if self.booked.len() <= second {
            self.booked.resize(second + 1, 0.0);
        }
        self.booked[second] += work;
        SECOND * (second as u32 + 1)
    }

    fn booked_in(&self, second: usize) -> f64 {
        self.booked.get(second).copied().unwrap_or(0.0)
    }

    fn least_booked(&self) -> usize {
        let by_work = |a: &usize, b: &usize| self.booked_in(*a).total_cmp(&self.booked_in(*b));
        (0..MAX_DELAY_SECONDS).min_by(by_work).unwrap_or(0)
    }

    /// Advances to the current second.
    fn advance(&mut self, now: Time) {
        let second = now.since(Time::default()).as_secs();
        let passed = second.saturating_sub(self.second).min(MAX_DELAY_SECONDS as u64);
        for _ in 0..passed {
            self.booked.pop_front();
            self.rate += (self.done - self.rate) * RATE_SMOOTHING;
            self.done = 0.0;
        }
        self.second = self.second.max(second);
    }
}
