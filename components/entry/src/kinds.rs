//! The measured service times and the retry budget of each kind.

use std::sync::Arc;

use admission::ServiceTimes;
use model::{Map, Time};
use settings::KindSettings;

/// Cap of the retry budget, so that a long time without failures does not allow a retry storm.
const RETRY_CREDIT_MAX: f64 = 10.0;

/// The service times of a kind and its budget for retries of tasks that may have run.
#[derive(Debug)]
pub(crate) struct KindState {
    pub times: ServiceTimes,
    /// Retries left in the budget; the shares of requests add up to whole retries.
    retry_credit: f64,
}

impl KindState {
    /// Adds the share of one request to the retry budget.
    pub fn add_retry_credit(&mut self, share: f64) {
        self.retry_credit = (self.retry_credit + share).min(RETRY_CREDIT_MAX);
    }

    /// Takes one retry from the budget; false when the budget is exhausted.
    pub fn take_retry(&mut self) -> bool {
        let allowed = self.retry_credit >= 1.0;
        if allowed {
            self.retry_credit -= 1.0;
        }
        allowed
    }
}

/// A start that was sent to an agent and is not yet answered.
#[derive(Clone, Debug)]
pub(crate) struct InFlight {
    pub kind: Arc<KindSettings>,
    pub sent_at: Time,
}

/// The states of kinds, by service and kind; each is created when it is first needed.
#[derive(Debug, Default)]
pub(crate) struct Kinds {
    states: Map<String, Map<String, KindState>>,
}

impl Kinds {
    /// The service times of a kind; `None` if it has no state yet.
    pub fn times(&self, kind: &KindSettings) -> Option<&ServiceTimes> {
        Some(&self.states.get(&kind.service)?.get(&kind.kind)?.times)
    }

    /// The state of a kind, which is created if there is none.
    pub fn get_mut(&mut self, kind: &KindSettings) -> &mut KindState {
        let service = self.states.entry(kind.service.clone()).or_default();
        let new_state =
            || KindState { times: ServiceTimes::new(kind.expected_duration), retry_credit: 0.0 };
        service.entry(kind.kind.clone()).or_insert_with(new_state)
    }
}
