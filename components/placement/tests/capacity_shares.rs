//! Tests of the offers of scarce capacity to sessions. The target has ten tasks' capacity, and
//! capacity for one task is free.

use std::collections::BTreeMap;
use std::time::Duration;

use model::Time;
use placement::{CapacityShares, Offer, WaitingWork};
use proptest::prelude::*;

const START: Time = Time::from_millis(1_000_000);
const TASK: u64 = 1_600;
const TOTAL: u64 = 16_000;
const TURN: Duration = Duration::from_millis(8);

fn work(priority: u8, tasks: u32) -> WaitingWork {
    let due = Duration::from_millis(50);
    WaitingWork { priority, tasks, cpu_milli: TASK * u64::from(tasks), due }
}

/// Shares in which these sessions have sent a start just now.
fn shares_with(sessions: &[u64]) -> CapacityShares {
    let mut shares = CapacityShares::new(1);
    sessions.iter().for_each(|session| shares.record_start(START, *session, TASK));
    shares
}

fn holder(shares: &mut CapacityShares, now: Time) -> Option<u64> {
    match shares.offer(now, TASK, TOTAL) {
        Offer::Only(session) => Some(session),
        Offer::All | Offer::Nobody => None,
    }
}

/// The numbers of turns by session. Demands are repeated every 80 ms.
fn turns(
    shares: &mut CapacityShares,
    count: u32,
    demands: &[(u64, Vec<WaitingWork>)],
) -> BTreeMap<u64, u32> {
    let mut turns = BTreeMap::new();
    for turn in 0..count {
        let now = START + TURN * turn;
        if turn % 10 == 0 {
            for (session, waiting) in demands {
                shares.record_demand(now, *session, waiting.iter().copied());
            }
        }
        if let Some(session) = holder(shares, now) {
            *turns.entry(session).or_default() += 1;
        }
    }
    turns
}

/// Guards against old builds that get more or less capacity than before.
#[test]
fn turns_are_equal_where_nobody_reports_demand() {
    let mut shares = shares_with(&[1, 2, 5]);
    let order: Vec<_> =
        (0..7).map(|turn| holder(&mut shares, START + TURN * turn).unwrap()).collect();
    assert_eq!(order, [1, 2, 5, 1, 2, 5, 1]);
    // Within a turn, a start does not pass it on.
    let now = START + TURN * 6 + Duration::from_millis(5);
    shares.record_start(now, 1, TASK);
    assert_eq!(holder(&mut shares, now + Duration::from_millis(2)), Some(1));
    // A session takes no turns a second after its last start, or after it has ended.
    shares.remove_session(2);
    let later = START + Duration::from_millis(1_001);
    assert_eq!(holder(&mut shares, later), Some(1));
    assert_eq!(holder(&mut shares, later + TURN), Some(1));
    assert!(!shares.takes_part(later, 5));
}

/// Guards against offers that ignore how much waits at each entry.
#[test]
fn turns_are_in_proportion_to_the_waiting_work() {
    let mut shares = CapacityShares::new(7);
    let demands: Vec<_> = (1..=10)
        .map(|session| (session, vec![work(1, if session <= 5 { 40 } else { 10 })]))
        .collect();
    let turns = turns(&mut shares, 1_000, &demands);
    for (session, turns) in turns {
        let fair = if session <= 5 { 160 } else { 40 };
        assert!(turns.abs_diff(fair) <= 5, "session {session} had {turns} turns, {fair} are fair");
    }
}

/// Guards against a burst of long jobs that delays urgent ones, and against urgent jobs that starve
/// the others.
#[test]
fn urgent_work_comes_first_and_others_get_one_offer_of_eight() {
    let mut shares = CapacityShares::new(7);
    let demands = [(1, vec![work(0, 1)]), (2, vec![work(1, 400)]), (3, vec![work(2, 400)])];
    let mut offers = Vec::new();
    for turn in 0..800 {
        let now = START + TURN * turn;
        for (session, waiting) in &demands {
            shares.record_demand(now, *session, waiting.iter().copied());
        }
        offers.push(holder(&mut shares, now).unwrap());
    }
    let count = |session| offers.iter().filter(|holder| **holder == session).count();
    assert!(count(1) >= 550, "{} of 800 offers went to urgent work", count(1));
    for (at, window) in offers.windows(8).enumerate() {
        assert!(window.iter().any(|holder| *holder != 1), "none at {at}");
    }
    assert!(count(2) >= 45 && count(3) >= 45, "{} and {}", count(2), count(3));
}

/// Guards against capacity that is kept for an entry which is paused, cut off or restarted.
#[test]
fn a_silent_entry_with_the_largest_claim_soon_leaves_none() {
    let mut shares = shares_with(&[1]);
    shares.record_demand(START, 1, [work(0, 1_000)]);
    let mut offers_of_silent = Vec::new();
    for turn in 0..100 {
        let now = START + TURN * turn;
        shares.record_demand(now, 2, [work(1, 1)]);
        if holder(&mut shares, now) == Some(1) {
            offers_of_silent.push(now.since(START));
        }
    }
    assert!(offers_of_silent.len() > 30);
    let last = offers_of_silent.into_iter().max().unwrap();
    assert!(last < Duration::from_millis(380), "the last offer was after {last:?}");
    // It takes turns again once it is heard from.
    let now = START + TURN * 100;
    shares.record_start(now, 1, TASK);
    assert!(shares.takes_part(now, 1));
}

/// Guards against an entry whose fresh urgent job finds no capacity until its next heartbeat. Each
/// of 70 agents offers capacity on its own.
#[test]
fn an_entry_that_does_not_wait_finds_capacity_within_a_few_ms() {
    let mut agents: Vec<CapacityShares> = (0..70).map(CapacityShares::new).collect();
    let offered_at_some_agent = |agents: &mut Vec<CapacityShares>, now: Time| {
        agents.iter_mut().enumerate().fold(0, |count, (number, shares)| {
            // Turns of different agents start at different times.
            let now = now + Duration::from_micros(number as u64 * 113);
            if now.since(START).as_millis() % 100 < 2 {
                for session in 1..=9 {
                    shares.record_demand(now, session, [work(0, 30)]);
                }
                shares.record_start(now, 10, TASK);
                shares.record_demand(now, 10, []);
            }
            count + usize::from(holder(shares, now) == Some(10))
        })
    };
    let mut without_offer = 0;
    let mut longest = 0;
    for tick in 0..1_000 {
        let offers = offered_at_some_agent(&mut agents, START + Duration::from_millis(tick));
        without_offer = if offers == 0 { without_offer + 1 } else { 0 };
        longest = longest.max(without_offer);
        // The share is a minimum one.
        assert!(offers <= 35, "{offers} of 70 agents at {tick} ms");
    }
    assert!(longest <= 8, "no capacity for {longest} ms");
}

/// Guards against old builds that get none or all of the capacity among new ones.
#[test]
fn an_old_build_counts_with_the_mean_of_the_others() {
    let mut shares = shares_with(&[9]);
    let demands = [(1, vec![work(1, 40)]), (2, vec![work(1, 10)])];
    // The old build has sent no start for longer than a second after this.
    let turns = turns(&mut shares, 120, &demands);
    let fair = 120 * 25 / 75;
    assert!(turns[&9].abs_diff(fair) <= 3, "{turns:?}");
}

/// Guards against capacity that stays with an entry although it waits for nothing any more.
#[test]
fn an_offer_that_is_not_needed_or_used_is_passed_on() {
    let mut shares = shares_with(&[1]);
    shares.record_demand(START, 1, [work(1, 10)]);
    assert_eq!(holder(&mut shares, START), Some(1));
    shares.record_demand(START, 2, [work(1, 1)]);
    shares.record_demand(START, 1, []);
    assert_eq!(holder(&mut shares, START), Some(2));
    // What a start leaves is offered to another session.
    shares.record_demand(START, 3, [work(1, 100)]);
    shares.record_start(START, 2, TASK);
    assert_eq!(holder(&mut shares, START), Some(2));
    assert_eq!(holder(&mut shares, START + Duration::from_millis(1)), Some(3));
    // The turns of a session that sends no start end after 8 ms.
    shares.record_demand(START, 2, [work(1, 100)]);
    assert_eq!(holder(&mut shares, START + Duration::from_millis(8)), Some(3));
    let next = [9, 17, 25].map(|ms| holder(&mut shares, START + Duration::from_millis(ms)));
    assert!(next.contains(&Some(2)), "{next:?}");
    let counts = shares.offer_counts(2);
    assert_eq!((counts.used, counts.taken_cpu_milli), (1, TASK));
    assert_eq!(shares.total_counts().turns, 6);
}

/// Guards against entries that all send tasks for the same block of freed capacity, and against
/// turns while there is room.
#[test]
fn a_block_is_offered_to_one_entry_only_while_more_work_waits() {
    let mut shares = shares_with(&[1, 2]);
    let block = 4 * TASK - 1;
    assert_eq!(shares.offer(START, block, TOTAL), Offer::All);
    shares.record_demand(START, 1, [work(1, 2)]);
    assert_eq!(shares.offer(START, block, TOTAL), Offer::All);
    shares.record_demand(START, 1, [work(1, 4)]);
    assert_eq!(shares.offer(START, block, TOTAL), Offer::Only(1));
    assert_eq!(shares.offer(START, 4 * TASK, TOTAL), Offer::All);
}

/// Guards against reports of fragments in which no task fits.
#[test]
fn a_fragment_is_offered_to_nobody() {
    let mut shares = shares_with(&[1, 2]);
    shares.record_demand(START, 1, [work(1, 4)]);
    shares.record_demand(START, 2, [work(0, 4)]);
    assert_eq!(shares.offer(START, TASK / 4, TOTAL), Offer::Nobody);
    assert_eq!(shares.offer(START, TASK, TOTAL), Offer::Only(2));
}

proptest! {
    /// Guards against a session that waits but is never offered capacity, whatever the others
    /// report.
    #[test]
    fn every_waiting_session_of_the_top_priority_is_served(
        seed in any::<u64>(),
        tasks in prop::collection::vec(1_u32..100, 2..8),
    ) {
        let mut shares = CapacityShares::new(seed);
        let demands: Vec<_> =
            (1..).zip(&tasks).map(|(session, tasks)| (session, vec![work(0, *tasks)])).collect();
        let turns = turns(&mut shares, 1_000, &demands);
        let all: u32 = tasks.iter().sum();
        for (session, tasks) in (1..).zip(tasks) {
            let fair = 1_000 * tasks / all;
            prop_assert!(turns.get(&session).copied().unwrap_or(0).abs_diff(fair) <= 8);
        }
    }
}
