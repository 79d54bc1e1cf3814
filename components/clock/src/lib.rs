//! A steady clock that goes on while the host is suspended.
//!
//! `std::time::Instant` stands still on Linux while the host is suspended. A lease, a silence or an age that is measured by it
//! is too short by that span: a process would go on after it as if it had never been away.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// A moment on the clock of this host, since it was booted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootInstant(Duration);

impl BootInstant {
    /// This moment.
    pub fn now() -> Self {
        let time = clock_gettime(ClockId::Boottime);
        // Neither part of this clock is ever negative.
        Self(Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32))
    }

    /// How long ago it was.
    pub fn elapsed(self) -> Duration {
        Self::now().since(self)
    }

    /// Time passed since `earlier`; zero when `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}
