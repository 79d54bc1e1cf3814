//! Values by queue, bounded in number.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Maximum number of queues. Names of queues come from configuration, and deployments have few; the
/// bound keeps an entry's memory small if names change all the time.
const MAX_QUEUES: usize = 256;

/// Values by queue. A new queue replaces the one whose value was not changed for the longest time.
#[derive(Debug)]
pub(crate) struct QueueMap<T> {
    values: BTreeMap<Arc<str>, Recorded<T>>,
    /// Number of changes so far.
    changes: u64,
}

/// A value and the number of its last change.
#[derive(Debug)]
struct Recorded<T> {
    value: T,
    last_change: u64,
}

impl<T> Default for QueueMap<T> {
    fn default() -> Self {
        Self { values: BTreeMap::new(), changes: 0 }
    }
}

impl<T: Default> QueueMap<T> {
    pub fn get(&self, queue: &str) -> Option<&T> {
        self.values.get(queue).map(|recorded| &recorded.value)
    }

    /// Returns the value of a queue to change it.
    pub fn change(&mut self, queue: &Arc<str>) -> &mut T {
        self.changes += 1;
        if self.values.len() >= MAX_QUEUES && !self.values.contains_key(queue) {
            let oldest = self.values.iter().min_by_key(|(_, recorded)| recorded.last_change);
            if let Some(oldest) = oldest.map(|(queue, _)| queue.clone()) {
                self.values.remove(&oldest);
            }
        }
        let new = || Recorded { value: T::default(), last_change: 0 };
        let recorded = self.values.entry(queue.clone()).or_insert_with(new);
        recorded.last_change = self.changes;
        &mut recorded.value
    }

    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &T)> {
        self.values.iter().map(|(queue, recorded)| (queue, &recorded.value))
    }
}
