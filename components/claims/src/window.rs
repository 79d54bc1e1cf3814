//! The time window of submission ids for which claims and task outcomes are remembered.

use std::time::Duration;

use model::{SubmissionId, Time};

/// The age class of a submission id, which decides whether it can be admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Age {
    /// Within the retention: the submission can be admitted.
    Known,
    /// Past the retention: the submission may have run and been forgotten.
    TooOld,
    /// Ahead of this entry's clock by more than the clock skew, but an entry with a faster clock
    /// may have admitted the submission.
    TooNew,
    /// So far in the future that no entry within the clock skew can have admitted the submission.
    Impossible,
}

/// The retention time and the bound on clock skew.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    /// How long claims are kept, counted from the time of the submission id.
    pub retention: Duration,
    /// The greatest difference between the clocks of two hosts.
    pub clock_skew: Duration,
}

impl Window {
    /// The age class of an id when an entry's clock shows `now`.
    pub fn age(&self, id: SubmissionId, now: Time) -> Age {
        let created = id.created_at();
        if created + self.retention < now + self.clock_skew * 2 {
            Age::TooOld
        } else if created > now + self.clock_skew * 2 {
            Age::Impossible
        } else if created > now + self.clock_skew {
            Age::TooNew
        } else {
            Age::Known
        }
    }

    /// The time until which a holder keeps the state of an id. By then the entry with the slowest
    /// clock refuses the id as too old.
    pub fn kept_until(&self, id: SubmissionId) -> Time {
        id.created_at() + self.retention
    }

    /// The latest creation time of ids on which a holder that started at `started` does not vote,
    /// since they may have been claimed at an earlier process of the agent.
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
    fn age_classes_at_their_bounds() {
        let created = 1_000_000;
        assert_eq!(age_at(created, created), Age::Known);
        assert_eq!(age_at(created, created - 250), Age::Known);
        assert_eq!(age_at(created, created - 251), Age::TooNew);
        assert_eq!(age_at(created, created - 500), Age::TooNew);
        assert_eq!(age_at(created, created - 501), Age::Impossible);
        assert_eq!(age_at(created, created + 599_500), Age::Known);
        assert_eq!(age_at(created, created + 599_501), Age::TooOld);
    }

    #[test]
    fn an_id_forgotten_by_a_holder_is_too_old_at_every_entry() {
        // The holder's clock is ahead of the entry's by the greatest allowed skew.
        let id = SubmissionId::from_parts(Time::from_millis(1_000_000), 7);
        let forgotten = WINDOW.kept_until(id) + Duration::from_millis(1);
        let entry_clock = forgotten - WINDOW.clock_skew;
        assert_eq!(WINDOW.age(id, entry_clock), Age::TooOld);
    }
}
