//! Virtual time: what happens next.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use model::Time;

/// Things that happen at moments, in order.
#[derive(Debug)]
pub struct Clock<T> {
    /// The moment of what happened last.
    pub now: Time,
    order: BinaryHeap<Reverse<(Time, u64)>>,
    things: HashMap<u64, T>,
    sequence: u64,
}

impl<T> Clock<T> {
    /// A clock with nothing planned.
    pub fn new(now: Time) -> Self {
        Self { now, order: BinaryHeap::new(), things: HashMap::new(), sequence: 0 }
    }

    /// Plans something.
    pub fn at(&mut self, time: Time, thing: T) {
        self.sequence += 1;
        self.order.push(Reverse((time.max(self.now), self.sequence)));
        self.things.insert(self.sequence, thing);
    }

    /// Plans something after a while.
    pub fn after(&mut self, time: Duration, thing: T) {
        self.at(self.now + time, thing);
    }

    /// Goes to what is next.
    pub fn next(&mut self) -> Option<T> {
        let Reverse((time, sequence)) = self.order.pop()?;
        self.now = time;
        self.things.remove(&sequence)
    }
}
