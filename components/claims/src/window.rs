//! Which submission ids are young enough for their fate to be known.

use std::time::Duration;

use model::{SubmissionId, Time};

/// How the age of an id decides what may be done with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Age {
    /// Claims about it are kept: it can be taken.
    Known,
    /// It may have been taken and forgotten since.
    TooOld,
    /// From the future, yet close enough that an entry with a faster clock may have taken it.
    TooNew,
    /// So far in the future that no entry within the bound on clocks can have taken it.
    Impossible,
}

/// The retention time and the bound on the difference between clocks.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    /// How long claims are kept after the id was made.
    pub retention: Duration,
    /// Bound on the difference between two hosts' clocks.
    pub clock_skew: Duration,
}

impl Window {
    /// How an entry has to take an id at `now`.
    pub fn age(&self, id: SubmissionId, now: Time) -> Age {
        let made = id.made();
        if made + self.retention < now + self.clock_skew * 2 {
            Age::TooOld
        } else if made > now + self.clock_skew * 2 {
            Age::Impossible
        } else if made > now + self.clock_skew {
            Age::TooNew
        } else {
            Age::Known
        }
    }

    /// Until when a holder keeps what it knows of an id: past the moment at which the entry with
    /// the slowest clock refuses it as too old.
    pub fn kept_until(&self, id: SubmissionId) -> Time {
        id.made() + self.retention
    }

    /// From which time of making on a process that started at `started` knows all ids: an id made
    /// earlier may have been in the memory of its earlier life.
    pub fn votes_from(&self, started: Time) -> Time {
        started + self.clock_skew * 2
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const WINDOW: Window =
        Window { retention: Duration::from_secs(600), clock_skew: Duration::from_millis(250) };

    fn age_at(made_ms: u64, now_ms: u64) -> Age {
        let id = SubmissionId::from_parts(Time::from_millis(made_ms), 7);
        WINDOW.age(id, Time::from_millis(now_ms))
    }

    #[test]
    fn ages_by_the_bounds() {
        let made = 1_000_000;
        assert_eq!(age_at(made, made), Age::Known);
        assert_eq!(age_at(made, made - 250), Age::Known);
        assert_eq!(age_at(made, made - 251), Age::TooNew);
        assert_eq!(age_at(made, made - 500), Age::TooNew);
        assert_eq!(age_at(made, made - 501), Age::Impossible);
        assert_eq!(age_at(made, made + 599_500), Age::Known);
        assert_eq!(age_at(made, made + 599_501), Age::TooOld);
    }

    #[test]
    fn no_entry_takes_what_a_holder_has_forgotten() {
        // The holder's clock is ahead of the entry's by the whole bound.
        let id = SubmissionId::from_parts(Time::from_millis(1_000_000), 7);
        let forgotten = WINDOW.kept_until(id) + Duration::from_millis(1);
        let entry_clock = forgotten - WINDOW.clock_skew;
        assert_eq!(WINDOW.age(id, entry_clock), Age::TooOld);
    }
}
