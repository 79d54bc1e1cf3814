//! A figure that follows another only once that has stayed on one side of it for a while.

use std::time::Duration;

use model::Time;

/// The figure, and where the other has been since it left it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Steady {
    value: usize,
    /// Since when the other has been above or below, and its closest value since.
    apart: Option<(Time, usize)>,
}

impl Steady {
    pub fn new(value: usize) -> Self {
        Self { value, apart: None }
    }

    /// Takes note of the other figure; returns this one.
    pub fn follow(&mut self, now: Time, other: usize, after: Duration) -> usize {
        let same_side = |closest: usize| (closest > self.value) == (other > self.value);
        self.apart = match self.apart {
            _ if other == self.value => None,
            Some((since, closest)) if same_side(closest) => {
                let rises = other > self.value;
                let closest = if rises { closest.min(other) } else { closest.max(other) };
                Some((since, closest))
            }
            _ => Some((now, other)),
        };
        if let Some((since, closest)) = self.apart
            && now.since(since) >= after
        {
            self.value = closest;
            self.apart = None;
        }
        self.value
    }
}
