//! The clock whose time is passed to the state machines.

use std::time::{SystemTime, UNIX_EPOCH};

use clock::BootInstant;
use model::Time;

/// A monotonic clock that starts at the wall clock's time and counts the time in which the host is
/// suspended.
///
/// Later changes of the wall clock have no effect. The setting `clock_skew_ms` bounds how far the
/// clocks of two hosts may differ.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: BootInstant,
    epoch: Time,
}

impl Clock {
    /// Starts a clock at the current wall-clock time.
    pub fn start() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let micros = u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX);
        Self { started: BootInstant::now(), epoch: Time::from_micros(micros) }
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        self.epoch + self.started.elapsed()
    }
}
