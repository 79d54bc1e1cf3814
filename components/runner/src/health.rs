//! Whether the target runs tasks well, by how they end.

use std::time::Duration;

use model::Time;

/// Failures in a row after which the target is left out.
const FAILURES: u32 = 4;
/// How long it is left out the first time; twice as long each time after.
const FIRST_PAUSE: Duration = Duration::from_millis(1_000);
/// The longest pause.
const LONGEST_PAUSE: Duration = Duration::from_millis(4_000);

/// What changed by an end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Change {
    None,
    LeftOut { failures: u32, pause: Duration },
    TakenBack,
}

/// Ends in a row, and the pause that they led to.
#[derive(Debug, Default)]
pub(crate) struct Health {
    failures: u32,
    pause: Option<Duration>,
    out_until: Time,
}

impl Health {
    /// A task failed, or did not come to an end.
    pub fn failed(&mut self, now: Time) -> Change {
        self.failures += 1;
        let on_trial = self.pause.is_some();
        if self.failures < FAILURES && !on_trial {
            return Change::None;
        }
        if now < self.out_until {
            return Change::None;
        }
        let pause = self.pause.map_or(FIRST_PAUSE, |pause| (pause * 2).min(LONGEST_PAUSE));
        self.pause = Some(pause);
        self.out_until = now + pause;
        Change::LeftOut { failures: self.failures, pause }
    }

    /// A task was done.
    pub fn succeeded(&mut self) -> Change {
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
