//! The wait and the timeout of a hold.
//!
//! While a hold is unanswered, the agent does not learn which runs have ended: capacity stays
//! unused and jobs finish late. So after a target has left a command unanswered, holds wait
//! only until about the next expected end of a run, and time out sooner.

use std::time::Duration;

use model::Time;

use crate::run::Run;
use crate::runner::Runner;
use crate::timing::Timing;

/// Wait of a hold while orphaned runs are stopped.
const ORPHAN_WAIT: Duration = Duration::from_millis(30);

/// The times of one hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HoldTiming {
    /// How long the target may wait for a run to end.
    pub wait: Duration,
    /// Timeout for the answer.
    pub answer_within: Duration,
}

impl HoldTiming {
    /// The times of a hold with this wait, for a target that answers reliably.
    pub fn with_wait(wait: Duration, timing: &Timing) -> Self {
        Self { wait, answer_within: wait + timing.hold_slack }
    }
}

impl Runner {
    /// The times of a hold that is sent now.
    pub(crate) fn hold_timing(&self, now: Time) -> HoldTiming {
        let timing = &self.timing;
        if self.target.as_ref().is_some_and(|target| target.has_orphans) {
            return HoldTiming::with_wait(ORPHAN_WAIT, timing);
        }
        let retention = timing.unanswered_retention;
        if !self.target.as_ref().is_some_and(|target| target.recently_unanswered(now, retention)) {
            return HoldTiming::with_wait(timing.hold_wait, timing);
        }
        let wait = self.mean_end_interval().unwrap_or(timing.short_hold_wait_max);
        let wait = wait.clamp(timing.short_hold_wait_min, timing.short_hold_wait_max);
        HoldTiming { wait, answer_within: wait + timing.short_hold_slack }
    }

    /// The mean time between ends of runs by their estimates; `None` without active runs.
    fn mean_end_interval(&self) -> Option<Duration> {
        let running = self.runs.values().filter(|run| run.holds_capacity());
        let ends_per_s: f64 = running.map(ends_per_s).sum();
        // The sum of an empty iterator is negative zero, whose inverse is not a valid duration.
        (ends_per_s > 0.0).then(|| Duration::from_secs_f64(1.0 / ends_per_s))
    }
}

/// Ends per second if runs like this one follow each other.
fn ends_per_s(run: &Run) -> f64 {
    1e3 / f64::from(run.estimated_ms.max(1))
}
