//! The estimated time from admission to the last answer of a job.

use std::time::Duration;

use crate::ServiceTimes;

/// What stands between a new job and its slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueLoad {
    /// Tasks that are served before the job's.
    pub tasks_ahead: usize,
    /// Idle slots at hand.
    pub idle_slots: u32,
    /// Slots that the entry has or may count on, idle or busy; at least one.
    pub slots: u32,
}

/// How much longer than estimated a wait is taken to be: work admitted at the very edge of its
/// deadline misses it by the smallest error, and has then used slots for nothing.
const WAIT_MARGIN: f64 = 1.6;

/// Estimates the time to the last answer of a job of so many tasks.
///
/// The tasks that find no idle slot wait for slots to come free, one each mean service time over
/// the number of slots; the last of them then runs as long as the slowest of the job.
pub fn estimate_completion(times: &ServiceTimes, load: QueueLoad, tasks: usize) -> Duration {
    let waiting = (load.tasks_ahead + tasks).saturating_sub(load.idle_slots as usize);
    let turns = waiting as f64 / f64::from(load.slots.max(1));
    times.mean().mul_f64(turns * WAIT_MARGIN) + times.slowest_of(tasks)
}

#[cfg(test)]
mod tests {
    use super::*;

    const MEAN: Duration = Duration::from_millis(100);

    fn estimate_ms(tasks_ahead: usize, idle_slots: u32, tasks: usize) -> u128 {
        let load = QueueLoad { tasks_ahead, idle_slots, slots: 10 };
        estimate_completion(&ServiceTimes::new(MEAN), load, tasks).as_millis()
    }

    #[test]
    fn idle_slots_mean_no_wait() {
        assert_eq!(estimate_ms(0, 10, 10), 100);
    }

    #[test]
    fn waiting_tasks_cost_turns() {
        assert_eq!(estimate_ms(0, 0, 10), 260);
        assert_eq!(estimate_ms(40, 0, 10), 900);
    }
}
