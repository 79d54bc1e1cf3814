//! The clock against the one of the standard library, which differs from it by suspensions alone.

use std::thread;
use std::time::{Duration, Instant};

use clock::BootInstant;

const SPAN: Duration = Duration::from_millis(30);

#[test]
fn it_goes_on_at_least_as_fast_as_the_clock_of_the_standard_library() {
    let (booted, began) = (BootInstant::now(), steady());
    thread::sleep(SPAN);
    let by_library = began.elapsed();
    assert!(by_library >= SPAN && booted.elapsed() >= by_library);
}

#[test]
fn it_never_goes_back() {
    let moments: Vec<BootInstant> = (0..1_000).map(|_| BootInstant::now()).collect();
    assert!(moments.is_sorted());
    assert_eq!(moments[0].since(moments[999]), Duration::ZERO);
}

/// The other clock is what it is compared with.
#[allow(clippy::disallowed_methods)]
fn steady() -> Instant {
    Instant::now()
}
