//! Event queue of the simulation, which advances its virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use model::Time;

/// Scheduled events, returned by time and, at equal times, in the order of scheduling.
#[derive(Debug)]
pub struct EventQueue<T> {
    /// Current virtual time: the time of the last event returned.
    pub now: Time,
    schedule: BinaryHeap<Reverse<(Time, u64)>>,
    events: HashMap<u64, T>,
    sequence: u64,
}

impl<T> EventQueue<T> {
    /// Creates an empty queue at the given time.
    pub fn new(now: Time) -> Self {
        Self { now, schedule: BinaryHeap::new(), events: HashMap::new(), sequence: 0 }
    }

    /// Schedules an event at `time`, or now if `time` has passed.
    pub fn schedule_at(&mut self, time: Time, event: T) {
        self.sequence += 1;
        self.schedule.push(Reverse((time.max(self.now), self.sequence)));
        self.events.insert(self.sequence, event);
    }

    /// Schedules an event after a delay.
    pub fn schedule_after(&mut self, delay: Duration, event: T) {
        self.schedule_at(self.now + delay, event);
    }

    /// Removes the next event and advances the time to it; `None` if the queue is empty.
    pub fn pop_next(&mut self) -> Option<T> {
        let Reverse((time, sequence)) = self.schedule.pop()?;
        self.now = time;
        self.events.remove(&sequence)
    }
}
