//! A count that follows an input only after the input has stayed above or below it for some time.

use std::time::Duration;

use model::Time;

/// The debounced count and the current deviation of its input.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DebouncedCount {
    value: usize,
    /// Start of the deviation, and the input closest to the count since then.
    deviation: Option<(Time, usize)>,
}

impl DebouncedCount {
    pub fn new(value: usize) -> Self {
        Self { value, deviation: None }
    }

    /// Records the input and returns the count. If the input has stayed above or below the count
    /// for `delay`, the count moves to the input of that time which is closest to it.
    pub fn update(&mut self, now: Time, input: usize, delay: Duration) -> usize {
        let same_side = |closest: usize| (closest > self.value) == (input > self.value);
        self.deviation = match self.deviation {
            _ if input == self.value => None,
            Some((since, closest)) if same_side(closest) => {
                let rises = input > self.value;
                let closest = if rises { closest.min(input) } else { closest.max(input) };
                Some((since, closest))
            }
            _ => Some((now, input)),
        };
        if let Some((since, closest)) = self.deviation
            && now.since(since) >= delay
        {
            self.value = closest;
            self.deviation = None;
        }
        self.value
    }
}
