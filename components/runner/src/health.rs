//! Whether the target runs tasks well, by how they end.
//!
//! Only runs that began after the first failure of a row, or after the target was left out, speak
//! for it: what it had begun while it was well says nothing of what it does now.

use std::time::Duration;

use model::Time;

/// Failures in a row after which the target is left out.
const FAILURES: u32 = 3;
/// How long it is left out the first time; twice as long each time after.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// The longest pause.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_000);

/// What changed by an end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Change {
    None,
    LeftOut { failures: u32, pause: Duration },
    TakenBack,
}

/// Failures in a row, and the pause that they led to.
#[derive(Debug, Default)]
pub(crate) struct Health {
    failures: u32,
    /// Runs that began before say nothing good of the target.
    counts_from: Time,
    pause: Option<Duration>,
    out_until: Time,
}

impl Health {
    /// A task that began at `began` failed, or did not come to an end.
    pub fn failed(&mut self, now: Time, began: Time) -> Change {
        if self.failures == 0 {
            self.counts_from = began;
        }
        self.failures += 1;
        let on_trial = self.pause.is_some();
        if self.failures < FAILURES && !on_trial {
            return Change::None;
        }
        if now < self.out_until || (on_trial && began < self.counts_from) {
            return Change::None;
        }
        let pause = self.pause.map_or(FIRST_PAUSE, |pause| (pause * 2).min(LONGEST_PAUSE));
        self.pause = Some(pause);
        self.out_until = now + pause;
        self.counts_from = now;
        Change::LeftOut { failures: self.failures, pause }
    }

    /// A task that began at `began` was done.
    pub fn succeeded(&mut self, began: Time) -> Change {
        if self.failures > 0 && began <= self.counts_from {
            return Change::None;
        }
        self.failures = 0;
        self.out_until = Time::default();
        match self.pause.take() {
            Some(_) => Change::TakenBack,
            None => Change::None,
        }
    }

    /// Whether the target is left out now.
    pub fn is_out(&self, now: Time) -> bool {
        now < self.out_until
    }

    /// Whether it is given only one task at a time, to see how that ends.
    pub fn on_trial(&self) -> bool {
        self.pause.is_some()
    }
}
