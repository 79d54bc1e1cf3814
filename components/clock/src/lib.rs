//! A monotonic clock that advances while the host is suspended.
//!
//! On Linux, `std::time::Instant` doesn't advance during a suspension. Elapsed times measured with
//! it are too short by that time, so a resumed process would act on an expired lease.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// A time on this host's `CLOCK_BOOTTIME`, since boot. Not comparable between hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootInstant(Duration);

impl BootInstant {
    /// Returns the current time.
    pub fn now() -> Self {
        let time = clock_gettime(ClockId::Boottime);
        // The time since boot is never negative.
        Self(Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32))
    }

    /// Time passed since this instant; zero if it is in the future.
    pub fn elapsed(self) -> Duration {
        Self::now().since(self)
    }

    /// Time passed from `earlier` to this instant; zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}
