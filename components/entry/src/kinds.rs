//! What an entry has measured of each kind.

use std::sync::Arc;

use admission::ServiceTimes;
use model::{Map, Time};
use settings::KindSettings;

/// Most retries saved up, so that a calm hour does not allow a storm.
const RETRIES_SAVED: f64 = 10.0;

/// One kind's service times and its budget for retries without proof.
#[derive(Debug)]
pub(crate) struct KindState {
    pub times: ServiceTimes,
    retries: f64,
}

impl KindState {
    /// Adds a request's part to the budget.
    pub fn earn(&mut self, share: f64) {
        self.retries = (self.retries + share).min(RETRIES_SAVED);
    }

    /// Pays for one retry, where the budget allows it.
    pub fn pay(&mut self) -> bool {
        let allowed = self.retries >= 1.0;
        if allowed {
            self.retries -= 1.0;
        }
        allowed
    }
}

/// A task on its way to a target and back.
#[derive(Clone, Debug)]
pub(crate) struct Flight {
    pub kind: Arc<KindSettings>,
    pub at: Time,
}

/// Every kind that was asked for.
#[derive(Debug, Default)]
pub(crate) struct Kinds {
    states: Map<String, Map<String, KindState>>,
}

impl Kinds {
    /// What was measured of a kind, if anything.
    pub fn times(&self, kind: &KindSettings) -> Option<&ServiceTimes> {
        Some(&self.states.get(&kind.service)?.get(&kind.kind)?.times)
    }

    pub fn get_mut(&mut self, kind: &KindSettings) -> &mut KindState {
        let service = self.states.entry(kind.service.clone()).or_default();
        let fresh = || KindState { times: ServiceTimes::new(kind.expected), retries: 0.0 };
        service.entry(kind.kind.clone()).or_insert_with(fresh)
    }
}
