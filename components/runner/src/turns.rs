//! Which entry is told of room that is scarce.
//!
//! At a full target every entry that waits for room would send a task as soon as it is told of what has
//! become free: one of them runs, the others wait here for nothing and are tried elsewhere, late. So while room
//! is scarce one entry after the other is told of it, for a few milliseconds each, and the others are told that there is
//! none. Only entries that sent starts lately take turns; any other is told the truth, and takes part once it
//! has sent one.
//!
//! The load that this answers is more jobs than there is room for (`soak/tests/load.rs`).

use std::time::Duration;

use model::Time;

use crate::event::SessionId;

/// How long a turn lasts: the way there and back between halls, and some more for a busy entry.
const TURN: Duration = Duration::from_millis(8);
/// Room for fewer usual tasks than this is scarce.
const SCARCE_TASKS: f64 = 1.5;
/// An entry that has sent no start for so long takes no turns: some times as long as tasks run.
const ACTIVE: Duration = Duration::from_secs(1);
/// Weight of a start in the mean of what tasks take.
const TASK_WEIGHT: f64 = 0.1;

/// The turns of the entries.
#[derive(Debug, Default)]
pub(crate) struct Turns {
    /// Whose turn it is, and since when.
    turn: Option<(SessionId, Time)>,
    /// Mean of what a task takes, in thousandths of a core.
    task_cpu_milli: f64,
}

impl Turns {
    /// Takes note of a task that was asked for.
    pub fn asked(&mut self, cpu_milli: u64) {
        let cpu_milli = cpu_milli as f64;
        if self.task_cpu_milli == 0.0 {
            self.task_cpu_milli = cpu_milli;
        }
        self.task_cpu_milli += (cpu_milli - self.task_cpu_milli) * TASK_WEIGHT;
    }

    /// Whether so much room, in thousandths of a core, is told to one entry at a time.
    pub fn is_scarce(&self, free_cpu_milli: u64) -> bool {
        free_cpu_milli > 0 && (free_cpu_milli as f64) < self.task_cpu_milli * SCARCE_TASKS
    }

    /// Whose turn it is, of those who sent starts lately; passes the turn on when it is over.
    pub fn holder(&mut self, now: Time, active: &[SessionId]) -> Option<SessionId> {
        let present =
            self.turn.filter(|(holder, since)| active.contains(holder) && now.since(*since) < TURN);
        if present.is_none() {
            let last = self.turn.map(|(holder, _)| holder);
            let after = active.iter().find(|id| last.is_some_and(|last| **id > last));
            self.turn = after.or(active.first()).map(|id| (*id, now));
        }
        self.turn.map(|(holder, _)| holder)
    }

    /// Until when a turn lasts at most that begins now.
    pub fn end(now: Time) -> Time {
        now + TURN
    }

    /// Whether an entry that sent its last start then takes turns.
    pub fn is_active(now: Time, last_start: Option<Time>) -> bool {
        last_start.is_some_and(|at| now.since(at) < ACTIVE)
    }
}
