//! The event loop of a state machine's thread: handles inputs in batches, and timers between them.

use std::time::Duration;

use async_channel::Receiver;
use async_io::Timer;
use futures_lite::FutureExt;
use model::Time;

use crate::clock::Clock;

/// Capacity of the channels between the threads of a role.
pub(crate) const CHANNEL_CAPACITY: usize = 8_192;
/// Maximum interval between ticks of an idle loop, for periodic work without a timer.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of inputs handled before the timers are checked again.
const MAX_BATCH_INPUTS: usize = 256;

/// Connects a state machine, which does no I/O, to the event loop.
pub(crate) trait Driver {
    /// The inputs received over the channel.
    type Input;

    /// Handles one input.
    fn handle_input(&mut self, now: Time, input: Self::Input);

    /// Handles the timers that are due.
    fn handle_tick(&mut self, now: Time);

    /// Returns when the next tick is due; `None` if no timer is set.
    fn next_timer(&self) -> Option<Time>;

    /// Finishes a batch of inputs or a tick. Returns whether the loop continues.
    fn end_batch(&mut self) -> bool {
        true
    }
}

/// Runs the event loop until the channel is closed or the driver ends it.
pub(crate) async fn run<D: Driver>(mut driver: D, inputs: Receiver<D::Input>, clock: Clock) {
    loop {
        match wait_for_wake(&driver, &inputs, clock).await {
            Wake::Input(input) => handle_batch(&mut driver, input, &inputs, clock),
            Wake::Timer => driver.handle_tick(clock.now()),
            Wake::Closed => return,
        }
        if !driver.end_batch() {
            return;
        }
    }
}

enum Wake<I> {
    Input(I),
    Timer,
    Closed,
}

async fn wait_for_wake<D: Driver>(
    driver: &D,
    inputs: &Receiver<D::Input>,
    clock: Clock,
) -> Wake<D::Input> {
    let input = async {
        match inputs.recv().await {
            Ok(input) => Wake::Input(input),
            Err(_) => Wake::Closed,
        }
    };
    let due = driver.next_timer().map(|due| due.since(clock.now()));
    let wait = due.unwrap_or(MAX_TICK_INTERVAL).min(MAX_TICK_INTERVAL);
    let timer = async {
        Timer::after(wait).await;
        Wake::Timer
    };
    input.or(timer).await
}

fn handle_batch<D: Driver>(
    driver: &mut D,
    first: D::Input,
    inputs: &Receiver<D::Input>,
    clock: Clock,
) {
    driver.handle_input(clock.now(), first);
    for _ in 1..MAX_BATCH_INPUTS {
        let Ok(input) = inputs.try_recv() else { return };
        driver.handle_input(clock.now(), input);
    }
}
