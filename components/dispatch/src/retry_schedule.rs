//! When rejected clients come back, and in which order.
//!
//! Clients that are all told to come back after the same time come back all at once, find the fleet full again,
//! and keep out those that come for the first time. So each is given the first of the next seconds for which
//! not much work has been told to come back yet: a part of what this entry gets done in a second. The most
//! urgent may use the whole part, others leave some of it to them, so that the urgent come back first.
//!
//! More are served at their first try, with fewer tries; the last of a burst wait longer, as those who have waited no longer push
//! aside those who come.

use std::collections::VecDeque;
use std::time::Duration;

use model::Time;

use crate::event::{JobRequest, Outcome, Reason};

/// `Retry-After` counts whole seconds.
const SECOND: Duration = Duration::from_secs(1);
/// Latest second that a client is told: a rejected client would rather give up than wait longer, and what is
/// known now of the load says little about later.
const SECONDS: usize = 8;
/// The longest that a rejected client is told to wait.
pub(crate) const LATEST_RETURN: Duration = Duration::from_secs(SECONDS as u64);
/// What part of the work that an entry gets done in a second may come back in one.
const RETURN_PART: f64 = 0.8;
/// What part of that is for clients of any priority; the rest is for the most urgent.
const COMMON_PART: f64 = 0.6;
/// Weight of the last second in the mean of what gets done: the mean of about three seconds.
const RATE_WEIGHT: f64 = 0.3;

/// The work that rejected clients were told to come back with, by second.
#[derive(Debug, Default)]
pub(crate) struct Returns {
    /// Number of the present second.
    second: u64,
    /// Work told to come back in the next second and those after it.
    booked: VecDeque<f64>,
    /// Work done in the present second.
    done: f64,
    /// Mean work done in a second before.
    rate: f64,
}

impl Returns {
    /// Takes note of how a job ended. One for which there was no room is given a time to come back.
    pub fn with_return(&mut self, now: Time, request: &JobRequest, outcome: Outcome) -> Outcome {
        match outcome {
            Outcome::Completed => self.done(now, request.estimated_work()),
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

    fn done(&mut self, now: Time, work: f64) {
        self.turn(now);
        self.done += work;
    }

    /// When a client that is rejected now comes back with its work. The most urgent have priority 0.
    fn book(&mut self, now: Time, work: f64, priority: u8) -> Duration {
        self.turn(now);
        let whole = self.rate.max(self.done) * RETURN_PART;
        let most = if priority == 0 { whole } else { whole * COMMON_PART };
        let first = (0..SECONDS).find(|second| self.booked_in(*second) + work <= most);
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
        (0..SECONDS).min_by(by_work).unwrap_or(0)
    }

    /// Lets the seconds pass that are over.
    fn turn(&mut self, now: Time) {
        let second = now.since(Time::default()).as_secs();
        let passed = second.saturating_sub(self.second).min(SECONDS as u64);
        for _ in 0..passed {
            self.booked.pop_front();
            self.rate += (self.done - self.rate) * RATE_WEIGHT;
            self.done = 0.0;
        }
        self.second = self.second.max(second);
    }
}
