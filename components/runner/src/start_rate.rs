//! The rate at which an entry's starts take CPU.

use std::time::Duration;

use model::Time;

/// Time constant of the decay: covers some tens of starts of a busy entry, and is short enough to
/// follow a burst.
const TIME_CONSTANT: Duration = Duration::from_millis(300);

/// An exponentially decaying rate.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StartRate {
    /// Thousandths of a core per millisecond, as of `at`.
    rate: f64,
    at: Time,
}

impl StartRate {
    /// Adds a start that takes this much CPU, in thousandths of a core.
    pub fn add(&mut self, now: Time, cpu_milli: u64) {
        self.rate = self.per_ms(now) + cpu_milli as f64 / (TIME_CONSTANT.as_secs_f64() * 1e3);
        self.at = now;
    }

    /// The rate at this time, in thousandths of a core per millisecond.
    pub fn per_ms(&self, now: Time) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.rate * (-age / TIME_CONSTANT.as_secs_f64()).exp()
    }
}
