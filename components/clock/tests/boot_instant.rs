//! Compares `BootInstant` with `std::time::Instant`, which differs only in excluding suspensions.

use std::thread;
use std::time::{Duration, Instant};

use clock::BootInstant;

const SLEEP_TIME: Duration = Duration::from_millis(30);

#[test]
fn boot_time_advances_at_least_as_fast_as_std_instant() {
    let (boot_start, std_start) = (BootInstant::now(), std_now());
    thread::sleep(SLEEP_TIME);
    let std_elapsed = std_start.elapsed();
    assert!(std_elapsed >= SLEEP_TIME && boot_start.elapsed() >= std_elapsed);
}

#[test]
fn boot_time_is_monotonic() {
    let instants: Vec<BootInstant> = (0..1_000).map(|_| BootInstant::now()).collect();
    assert!(instants.is_sorted());
    assert_eq!(instants[0].since(instants[999]), Duration::ZERO);
}

/// Reads the clock of the standard library, which is otherwise disallowed, as the reference.
#[allow(clippy::disallowed_methods)]
fn std_now() -> Instant {
    Instant::now()
}
