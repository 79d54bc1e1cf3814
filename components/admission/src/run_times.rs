//! Predicted run times of the tasks of a queue.

use std::sync::Arc;
use std::time::Duration;

/// Predicts how long tasks run on a target of median speed.
#[derive(Debug, Default)]
pub struct RunTimes {}

impl RunTimes {
    /// Records a completed run. `relative_slowdown` is the slowdown of the target that ran it,
    /// divided by the median slowdown of the known targets.
    pub fn record(
        &mut self,
        _queue: &Arc<str>,
        _estimate: Duration,
        _ran: Duration,
        _relative_slowdown: f64,
    ) {
    }

    /// Returns the median run time of a task on a target of median speed. It is the estimate until
    /// enough runs of the queue are known.
    pub fn expected(&self, _queue: &str, estimate: Duration) -> Duration {
        estimate
    }

    /// Returns the median of the longest run time among `tasks` tasks on targets of median speed.
    pub fn longest_of(&self, _queue: &str, estimate: Duration, _tasks: u32) -> Duration {
        estimate
    }
}
