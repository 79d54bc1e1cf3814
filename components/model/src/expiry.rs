//! Expiry of keys, in buckets of one second.

use std::collections::BTreeMap;

use crate::Time;

/// Keys ordered by the second in which they expire.
#[derive(Debug)]
pub struct Expiry<K> {
    seconds: BTreeMap<u64, Vec<K>>,
}

impl<K> Default for Expiry<K> {
    fn default() -> Self {
        Self { seconds: BTreeMap::new() }
    }
}

impl<K> Expiry<K> {
    /// Schedules a key to expire between one and two seconds after `until`.
    pub fn insert(&mut self, key: K, until: Time) {
        self.seconds.entry(whole_seconds(until) + 1).or_default().push(key);
    }

    /// Removes and returns the keys that have expired.
    pub fn take_expired(&mut self, now: Time) -> Vec<K> {
        let second = whole_seconds(now);
        let mut expired = Vec::new();
        while let Some(first) = self.seconds.first_entry() {
            if *first.key() >= second {
                break;
            }
            expired.extend(first.remove());
        }
        expired
    }
}

fn whole_seconds(time: Time) -> u64 {
    time.as_micros() / 1_000_000
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn keys_expire_only_after_the_scheduled_time() {
        let mut expiry = Expiry::default();
        expiry.insert('a', Time::from_millis(1_999));
        assert!(expiry.take_expired(Time::from_millis(2_999)).is_empty());
        assert_eq!(expiry.take_expired(Time::from_millis(3_000)), ['a']);
        assert!(expiry.take_expired(Time::from_millis(9_000)).is_empty());
    }
}
