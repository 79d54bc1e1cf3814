//! Tracks from the ends of runs whether the target completes tasks.
//!
//! A success counts only if its run started after the first of the consecutive failures, or after
//! the exclusion started: earlier runs say nothing about the target's present health.

use std::time::Duration;

use model::Time;

/// Consecutive failures after which the target is excluded.
const FAILURE_THRESHOLD: u32 = 3;
/// Length of the first exclusion; doubles with each further one.
const INITIAL_EXCLUSION: Duration = Duration::from_millis(500);
/// Upper bound of an exclusion.
const MAX_EXCLUSION: Duration = Duration::from_millis(1_000);

/// The effect of a run's end on the target's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthChange {
    None,
    Excluded { failures: u32, exclusion: Duration },
    Restored,
}

/// Consecutive failures and the exclusion that they caused.
#[derive(Debug, Default)]
pub(crate) struct Health {
    failures: u32,
    /// Runs that started earlier do not count as evidence of health.
    evidence_from: Time,
    exclusion: Option<Duration>,
    excluded_until: Time,
}

impl Health {
    /// Records a failed run that started at `started_at`.
    pub fn record_failure(&mut self, now: Time, started_at: Time) -> HealthChange {
        if self.failures == 0 {
            self.evidence_from = started_at;
        }
        self.failures += 1;
        let on_trial = self.exclusion.is_some();
        if self.failures < FAILURE_THRESHOLD && !on_trial {
            return HealthChange::None;
        }
        if now < self.excluded_until || (on_trial && started_at < self.evidence_from) {
            return HealthChange::None;
        }
        let exclusion = self
            .exclusion
            .map_or(INITIAL_EXCLUSION, |exclusion| (exclusion * 2).min(MAX_EXCLUSION));
        self.exclusion = Some(exclusion);
        self.excluded_until = now + exclusion;
        self.evidence_from = now;
        HealthChange::Excluded { failures: self.failures, exclusion }
    }

    /// Records a completed run that started at `started_at`.
    pub fn record_success(&mut self, started_at: Time) -> HealthChange {
        if self.failures > 0 && started_at <= self.evidence_from {
            return HealthChange::None;
        }
        self.failures = 0;
        self.excluded_until = Time::default();
        match self.exclusion.take() {
            Some(_) => HealthChange::Restored,
            None => HealthChange::None,
        }
    }

    /// Whether the target is excluded at this time.
    pub fn is_excluded(&self, now: Time) -> bool {
        now < self.excluded_until
    }

    /// Whether the target runs only one task at a time until one completes.
    pub fn on_trial(&self) -> bool {
        self.exclusion.is_some()
    }
}
