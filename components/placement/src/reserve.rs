//! How many idle tokens an entry keeps at hand.

use std::time::Duration;

use model::Time;

/// Time over which the number of busy slots is averaged.
const AVERAGE_OVER: Duration = Duration::from_secs(2);
/// Standard deviations of a Poisson number of busy slots to keep at hand.
const DEVIATIONS: f64 = 2.0;

/// The reserve of one service at one entry.
///
/// With arrivals at random the number of busy slots deviates from its mean by about the mean's
/// square root; a reserve of two such deviations covers all but a few per cent of the moments.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reserve {
    mean_busy: f64,
    updated: Time,
}

impl Reserve {
    /// Notes how many slots are busy now.
    pub fn note(&mut self, busy: usize, now: Time) {
        let passed = now.since(self.updated).as_secs_f64();
        let share = 1.0 - (-passed / AVERAGE_OVER.as_secs_f64()).exp();
        self.mean_busy += (busy as f64 - self.mean_busy) * share;
        self.updated = now;
    }

    /// The idle tokens to keep: at least one, so that a first request finds one.
    pub fn target(&self) -> u32 {
        (DEVIATIONS * self.mean_busy.sqrt()).ceil().max(1.0) as u32
    }
}
