//! Estimate of the time from admission of a job to its last result.

use std::time::Duration;

use crate::ServiceTimes;

/// Queued tasks and slots at the arrival of a new job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueLoad {
    /// Number of tasks that are served before the tasks of the job.
    pub tasks_ahead: usize,
    /// Number of idle slots.
    pub idle_slots: u32,
    /// Number of slots that the entry can use, idle or busy; zero counts as one.
    pub slots: u32,
}

/// Safety factor applied to the estimated queueing delay. Without it, a job admitted close to its
/// deadline misses it at the smallest estimation error and wastes the slots it used.
const WAIT_MARGIN: f64 = 1.6;

/// Estimates the time from admission to the last result of a job with `tasks` tasks.
///
/// Tasks that find no idle slot wait until slots become free; each slot serves one task per mean
/// service time. The last task of the job then runs as long as the slowest one.
pub fn estimate_completion(times: &ServiceTimes, load: QueueLoad, tasks: usize) -> Duration {
    let waiting = (load.tasks_ahead + tasks).saturating_sub(load.idle_slots as usize);
    let waiting_per_slot = waiting as f64 / f64::from(load.slots.max(1));
    times.mean().mul_f64(waiting_per_slot * WAIT_MARGIN) + times.slowest_of(tasks)
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
    fn job_does_not_wait_with_enough_idle_slots() {
        assert_eq!(estimate_ms(0, 10, 10), 100);
    }

    #[test]
    fn waiting_tasks_delay_completion() {
        assert_eq!(estimate_ms(0, 0, 10), 260);
        assert_eq!(estimate_ms(40, 0, 10), 900);
    }
}
