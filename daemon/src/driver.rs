//! Drives a decision library from a ring of events: a batch of events, then its timers.

use std::time::Duration;

use async_channel::Receiver;
use async_io::Timer;
use futures_lite::FutureExt;
use model::Time;

use crate::clock::Clock;

/// Capacity of the rings between the threads of a role.
pub(crate) const RING: usize = 8_192;
/// Longest wait without a tick: what has no timer of its own is looked at this often.
const IDLE_TICK: Duration = Duration::from_millis(500);
/// Most events taken before the next look at the timers.
const BATCH: usize = 256;

/// What a deciding thread does with its input.
pub(crate) trait Decider {
    /// What comes in over the ring.
    type Input;

    /// Takes one input.
    fn input(&mut self, now: Time, input: Self::Input);

    /// Lets time pass.
    fn tick(&mut self, now: Time);

    /// When the next tick is due.
    fn next_timer(&self) -> Option<Time>;

    /// Whether to go on; asked after each batch.
    fn goes_on(&mut self) -> bool {
        true
    }
}

/// Runs a decider until its ring is closed or it is done.
pub(crate) async fn drive<D: Decider>(mut decider: D, ring: Receiver<D::Input>, clock: Clock) {
    loop {
        match next(&decider, &ring, clock).await {
            Wake::Input(input) => take_batch(&mut decider, input, &ring, clock),
            Wake::Timer => decider.tick(clock.now()),
            Wake::Closed => return,
        }
        if !decider.goes_on() {
            return;
        }
    }
}

enum Wake<I> {
    Input(I),
    Timer,
    Closed,
}

async fn next<D: Decider>(decider: &D, ring: &Receiver<D::Input>, clock: Clock) -> Wake<D::Input> {
    let input = async {
        match ring.recv().await {
            Ok(input) => Wake::Input(input),
            Err(_) => Wake::Closed,
        }
    };
    let due = decider.next_timer().map(|due| due.since(clock.now()));
    let wait = due.unwrap_or(IDLE_TICK).min(IDLE_TICK);
    let timer = async {
        Timer::after(wait).await;
        Wake::Timer
    };
    input.or(timer).await
}

fn take_batch<D: Decider>(
    decider: &mut D,
    first: D::Input,
    ring: &Receiver<D::Input>,
    clock: Clock,
) {
    decider.input(clock.now(), first);
    for _ in 1..BATCH {
        let Ok(input) = ring.try_recv() else { return };
        decider.input(clock.now(), input);
    }
}
