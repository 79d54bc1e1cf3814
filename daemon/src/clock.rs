//! The time that decision libraries are given.

use std::time::{SystemTime, UNIX_EPOCH};

use clock::BootInstant;
use model::Time;

/// A clock that starts at the wall clock's time and goes on monotonically, also while the host is suspended.
///
/// A wall clock that is set back later does not move it back. `clock_skew_ms` bounds how far two
/// hosts may differ.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: BootInstant,
    epoch: Time,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let micros = u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX);
        Self { started: BootInstant::now(), epoch: Time::from_micros(micros) }
    }

    /// The time now.
    pub fn now(&self) -> Time {
        self.epoch + self.started.elapsed()
    }
}
