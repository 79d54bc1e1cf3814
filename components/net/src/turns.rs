//! Turns, taken in the order in which they were asked for.

use std::cell::Cell;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::Timer;
use clock::BootInstant;

/// The turns of a server.
#[derive(Clone, Debug)]
pub(crate) struct Turns {
    free: Receiver<()>,
    returned: Sender<()>,
}

/// A turn, which ends when it is dropped.
#[derive(Debug)]
pub(crate) struct Turn(Sender<()>);

impl Turns {
    /// Creates a number of turns that can be taken at the same time.
    pub fn new(count: usize) -> Self {
        let (returned, free) = async_channel::bounded(count);
        for _ in 0..count {
            // The channel has room for all turns.
            let _ = returned.try_send(());
        }
        Self { free, returned }
    }

    /// Takes a turn if one is free.
    pub fn try_take(&self) -> Option<Turn> {
        self.free.try_recv().ok().map(|()| Turn(self.returned.clone()))
    }

    /// Waits for a turn.
    pub async fn take(&self) -> Turn {
        // Doesn't fail: this handle keeps a sender.
        let _ = self.free.recv().await;
        Turn(self.returned.clone())
    }
}

/// Turns that are taken one after the other, with a pause between two.
#[derive(Debug)]
pub(crate) struct PacedTurns {
    turns: Turns,
    interval: Duration,
    last_taken: Cell<Option<BootInstant>>,
    waiting: Cell<u32>,
}

/// Longest wait for a paced turn. A client whose turn is further away is better off elsewhere.
const MAX_PACED_WAIT: Duration = Duration::from_millis(500);

impl PacedTurns {
    /// Creates turns with the least time between two.
    pub fn new(interval: Duration) -> Self {
        Self { turns: Turns::new(1), interval, last_taken: Cell::new(None), waiting: Cell::new(0) }
    }

    /// Waits for a turn; `None` at once if too many others wait.
    pub async fn take(&self) -> Option<Turn> {
        if self.interval * self.waiting.get() > MAX_PACED_WAIT {
            return None;
        }
        let _waiting = CountGuard::new(&self.waiting);
        let turn = self.turns.take().await;
        let passed = self.last_taken.get().map_or(self.interval, BootInstant::elapsed);
        if passed < self.interval {
            Timer::after(self.interval - passed).await;
        }
        self.last_taken.set(Some(BootInstant::now()));
        Some(turn)
    }
}

/// Counts itself until it is dropped.
struct CountGuard<'a>(&'a Cell<u32>);

impl<'a> CountGuard<'a> {
    fn new(count: &'a Cell<u32>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        // The channel has room for all turns.
        let _ = self.0.try_send(());
    }
}
