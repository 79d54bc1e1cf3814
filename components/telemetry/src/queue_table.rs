//! Values by queue, for a bounded number of queues.

use std::collections::BTreeMap;

/// Values by queue. Queues come from the configuration, which may list any number of them over the
/// life of a node; those beyond the bound share one value.
#[derive(Clone, Debug, Default)]
pub struct QueueTable<T> {
    queues: BTreeMap<String, T>,
}

impl<T> QueueTable<T> {
    /// Most values, including that of [`Self::OTHER_QUEUES`].
    pub const MAX_QUEUES: usize = 256;
    /// Name of all queues without a value of their own.
    pub const OTHER_QUEUES: &str = "(other)";

    /// The value of a queue, if it has one of its own.
    pub fn get(&self, queue: &str) -> Option<&T> {
        self.queues.get(queue)
    }

    /// The value of each queue, in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &T)> {
        self.queues.iter().map(|(queue, value)| (queue.as_str(), value))
    }
}

impl<T: Default> QueueTable<T> {
    /// Returns the value of a queue, which starts as the default.
    pub fn get_mut(&mut self, queue: &str) -> &mut T {
        let has_shared_value = self.queues.contains_key(Self::OTHER_QUEUES);
        let own_values = self.queues.len() - usize::from(has_shared_value);
        let has_own_value = self.queues.contains_key(queue) || own_values + 1 < Self::MAX_QUEUES;
        let name = if has_own_value { queue } else { Self::OTHER_QUEUES };
        if !self.queues.contains_key(name) {
            self.queues.insert(name.to_owned(), T::default());
        }
        self.queues.get_mut(name).expect("the value was inserted above")
    }
}
