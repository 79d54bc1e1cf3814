//! Round-robin offers of scarce capacity.
//!
//! If a full target reported freed capacity to all entries, each waiting entry would send a task:
//! one would start, and the others would wait in vain and be placed elsewhere late. So while
//! capacity is scarce, it is offered to one entry at a time, and the others that have recently sent
//! starts are reported none.

use std::time::Duration;

use model::Time;

use crate::event::SessionId;

/// Length of a turn: covers a round trip between data halls.
const TURN: Duration = Duration::from_millis(8);
/// Free CPU for fewer tasks of average size than this is scarce.
const SCARCE_TASK_COUNT: f64 = 1.5;
/// An entry that has sent no start for this long takes no turns.
const ACTIVE_WINDOW: Duration = Duration::from_secs(1);
/// Weight of a start in the moving average of CPU per task.
const TASK_CPU_WEIGHT: f64 = 0.1;

/// The state of the rotation.
#[derive(Debug, Default)]
pub(crate) struct RoundRobin {
    /// The session that has the turn, and when the turn started.
    turn: Option<(SessionId, Time)>,
    /// Moving average of CPU per task, in thousandths of a core.
    task_cpu_milli: f64,
}

impl RoundRobin {
    /// Adds a requested task to the average.
    pub fn record_request(&mut self, cpu_milli: u64) {
        let cpu_milli = cpu_milli as f64;
        if self.task_cpu_milli == 0.0 {
            self.task_cpu_milli = cpu_milli;
        }
        self.task_cpu_milli += (cpu_milli - self.task_cpu_milli) * TASK_CPU_WEIGHT;
    }

    /// Whether this much free CPU, in thousandths of a core, is offered to one entry at a time.
    pub fn is_scarce(&self, free_cpu_milli: u64) -> bool {
        free_cpu_milli > 0 && (free_cpu_milli as f64) < self.task_cpu_milli * SCARCE_TASK_COUNT
    }

    /// The active session that has the turn; passes the turn on when it is over.
    pub fn holder(&mut self, now: Time, active: &[SessionId]) -> Option<SessionId> {
        let current =
            self.turn.filter(|(holder, since)| active.contains(holder) && now.since(*since) < TURN);
        if current.is_none() {
            let last = self.turn.map(|(holder, _)| holder);
            let after = active.iter().find(|id| last.is_some_and(|last| **id > last));
            self.turn = after.or(active.first()).map(|id| (*id, now));
        }
        self.turn.map(|(holder, _)| holder)
    }

    /// Latest end of a turn that starts now.
    pub fn turn_end(now: Time) -> Time {
        now + TURN
    }

    /// Whether an entry with this last start takes turns. The others are reported the actual load
    /// and take turns once they have sent a start.
    pub fn is_active(now: Time, last_start: Option<Time>) -> bool {
        last_start.is_some_and(|at| now.since(at) < ACTIVE_WINDOW)
    }
}
