//! How long a hold waits for an end, and how soon an unanswered one is given up.
//!
//! While a hold is left unanswered nothing is known of what ends at the target: its room lies idle, and jobs whose last
//! task has ended there are late. A busy agent sends a hold for nearly every end, so that of a target which leaves few
//! orders unanswered nothing would be known for much of the time. So once a target has left an order unanswered, holds wait
//! about as long as the next end is away, and are given up sooner. Where all orders are answered nothing changes.

use std::time::Duration;

use model::Time;

use crate::run::Run;
use crate::runner::{Runner, Timing};

/// How long a hold waits while orphans are stopped.
const ORPHAN_WAIT: Duration = Duration::from_millis(30);

/// The times of one hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HoldTimes {
    /// How long the target waits for an end.
    pub wait: Duration,
    /// It is given up after so long without an answer.
    pub answer: Duration,
}

impl HoldTimes {
    /// Those of a hold that waits so long, at a target that is thought to answer.
    pub fn waiting(wait: Duration, timing: &Timing) -> Self {
        Self { wait, answer: wait + timing.hold_slack }
    }
}

impl Runner {
    /// The times of a hold that is sent now.
    pub(crate) fn hold_times(&self, now: Time) -> HoldTimes {
        let timing = &self.timing;
        if self.target.as_ref().is_some_and(|target| target.has_orphans) {
            return HoldTimes::waiting(ORPHAN_WAIT, timing);
        }
        let kept = timing.unanswered_retention;
        if !self.target.as_ref().is_some_and(|target| target.leaves_unanswered(now, kept)) {
            return HoldTimes::waiting(timing.hold_wait, timing);
        }
        let wait = self.mean_gap_of_ends().unwrap_or(timing.short_hold_wait_most);
        let wait = wait.clamp(timing.short_hold_wait_least, timing.short_hold_wait_most);
        HoldTimes { wait, answer: wait + timing.short_hold_slack }
    }

    /// The mean time from one end to the next, by what tasks are thought to take; none where nothing runs.
    fn mean_gap_of_ends(&self) -> Option<Duration> {
        let running = self.runs.values().filter(|run| run.takes_room());
        let ends_per_s: f64 = running.map(ends_per_s).sum();
        // The sum of nothing is a negative zero, whose inverse is no time.
        (ends_per_s > 0.0).then(|| Duration::from_secs_f64(1.0 / ends_per_s))
    }
}

/// How many runs like this end in a second, one after the other.
fn ends_per_s(run: &Run) -> f64 {
    1e3 / f64::from(run.estimated_ms.max(1))
}
