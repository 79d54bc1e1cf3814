//! Tests of the start table and the token ledger, also with messages in arbitrary order.

use std::collections::HashSet;
use std::time::Duration;

use execution::{
    Ledger, Limits, Session, Settled, StartOutcome, StartTable, TaskOutcome, TokenChange,
};
use model::{Incarnation, NodeName, NodeRef, SubmissionId, TaskKey, Time};
use proptest::prelude::*;

const KEPT: Time = Time::from_millis(600_000);
const KEPT_FOR: Duration = Duration::from_millis(599_000);

fn owner(number: u64) -> NodeRef {
    NodeRef { name: NodeName::new("e1"), incarnation: Incarnation(number) }
}

fn task(index: u32) -> TaskKey {
    let submission = SubmissionId::from_parts(Time::from_millis(1_000), 1);
    TaskKey { submission, index, attempt: 0, origin: 0 }
}

fn table() -> StartTable {
    StartTable::new(Limits { outcome_bytes: 10 })
}

fn answer(text: &str) -> TaskOutcome {
    TaskOutcome::Answer(text.into())
}

#[test]
fn a_settled_task_never_starts() {
    let mut table = table();
    assert_eq!(table.settle(task(0), &owner(1), KEPT), Settled::NotRun);
    assert_eq!(table.start(task(0), &owner(1), KEPT), StartOutcome::Barred);
    assert_eq!(table.settle(task(0), &owner(1), KEPT), Settled::NotRun);
}

#[test]
fn a_second_owner_is_refused() {
    let mut table = table();
    assert_eq!(table.start(task(0), &owner(1), KEPT), StartOutcome::Starts);
    assert_eq!(table.start(task(0), &owner(2), KEPT), StartOutcome::OtherOwner(owner(1)));
}

#[test]
fn tasks_with_dropped_outcomes_are_still_known_as_ended() {
    let mut table = table();
    for index in 0..3 {
        table.start(task(index), &owner(1), KEPT);
        assert!(table.end(task(index), answer("12345")));
    }
    assert_eq!(table.held_bytes(), 10);
    assert_eq!(table.settle(task(0), &owner(1), KEPT), Settled::Ended(None));
    assert_eq!(table.settle(task(2), &owner(1), KEPT), Settled::Ended(Some(answer("12345"))));
}

#[test]
fn running_tasks_are_kept_beyond_their_retention() {
    let mut table = table();
    table.start(task(0), &owner(1), KEPT);
    table.settle(task(1), &owner(1), KEPT);
    table.expire(Time::default(), Time::from_millis(700_000));
    assert_eq!((table.len(), table.running()), (1, 1));
    assert!(table.end(task(0), answer("late")));
    table.expire(Time::default(), Time::from_millis(800_000));
    assert_eq!((table.len(), table.held_bytes()), (0, 0));
}

/// A message about one of a few tasks.
#[derive(Clone, Debug)]
enum Message {
    Start(u32),
    Settle(u32),
    End(u32),
    Expire(u64),
}

fn messages() -> impl Strategy<Value = Vec<Message>> {
    let message = prop_oneof![
        (0..4u32).prop_map(Message::Start),
        (0..4u32).prop_map(Message::Settle),
        (0..4u32).prop_map(Message::End),
        (0..1_200u64).prop_map(Message::Expire),
    ];
    proptest::collection::vec(message, 0..60)
}

proptest! {
    #[test]
    fn tasks_start_at_most_once_and_never_after_a_not_run_proof(messages in messages()) {
        let mut table = table();
        let mut started = HashSet::new();
        let mut proven = HashSet::new();
        for message in messages {
            match message {
                Message::Start(index) => {
                    if table.start(task(index), &owner(1), KEPT) == StartOutcome::Starts {
                        prop_assert!(started.insert(index), "task started twice");
                        prop_assert!(!proven.contains(&index), "started after it was settled as not run");
                    }
                }
                Message::Settle(index) => {
                    if table.settle(task(index), &owner(1), KEPT) == Settled::NotRun {
                        prop_assert!(!started.contains(&index), "settled as not run after its start");
                        proven.insert(index);
                    }
                }
                Message::End(index) => {
                    let ended = table.end(task(index), answer("x"));
                    prop_assert!(!ended || started.contains(&index));
                }
                Message::Expire(second) => {
                    // The table must report the tasks that it removes as forgotten.
                    let now = Time::from_millis(second * 1_000);
                    table.expire(now - KEPT_FOR, now);
                }
            }
        }
    }

    #[test]
    fn free_lent_and_busy_slots_add_up(steps in proptest::collection::vec((0..6u8, 0..3u64, 0..5u32), 0..120)) {
        let slots = 4;
        let mut ledger = Ledger::new(slots);
        let mut running: Vec<Session> = Vec::new();
        // The id of a closed session is never reused.
        let mut connections = [0, 1, 2];
        for (step, entry, count) in steps {
            let entry = entry as usize;
            let session = Session(connections[entry]);
            match step {
                0 => ledger.set_wanted(session, count),
                1 => ledger.take_back(session, count),
                2 => if ledger.spend(session) { running.push(session) },
                3 => if let Some(first) = running.pop() { ledger.finish(first); },
                4 => {
                    ledger.close(session);
                    connections[entry] += 3;
                }
                _ => { ledger.end_lease(session); }
            }
            ledger.rebalance(&mut Vec::new());
            let idle: u32 = connections.iter().map(|number| ledger.idle(Session(*number))).sum();
            prop_assert_eq!(ledger.busy() as usize, running.len());
            prop_assert_eq!(ledger.free() + ledger.busy() + idle, slots);
        }
    }
}

#[test]
fn idle_tokens_are_recalled_for_a_waiting_session() {
    let (holder, waiter) = (Session(1), Session(2));
    let mut ledger = Ledger::new(8);
    let mut changes = Vec::new();
    ledger.set_wanted(holder, 8);
    ledger.rebalance(&mut changes);
    assert_eq!(changes, [TokenChange::Grant(holder, 8)]);
    changes.clear();
    // Granted tokens are not recalled before the next request of their session.
    ledger.set_wanted(waiter, 2);
    ledger.rebalance(&mut changes);
    assert_eq!(changes, []);
    ledger.set_wanted(holder, 0);
    ledger.rebalance(&mut changes);
    assert_eq!(changes, [TokenChange::Recall(holder, 2)]);
    changes.clear();
    ledger.take_back(holder, 2);
    ledger.rebalance(&mut changes);
    assert_eq!(changes, [TokenChange::Grant(waiter, 2)]);
}

#[test]
fn a_withdrawn_request_does_not_block_another_session() {
    let (holder, waiter) = (Session(1), Session(2));
    let mut ledger = Ledger::new(4);
    ledger.set_wanted(holder, 9);
    ledger.rebalance(&mut Vec::new());
    // The first session withdraws the rest of its request.
    ledger.set_wanted(holder, 0);
    ledger.set_wanted(waiter, 2);
    let mut changes = Vec::new();
    ledger.rebalance(&mut changes);
    assert_eq!(changes, [TokenChange::Recall(holder, 2)]);
    ledger.take_back(holder, 2);
    changes.clear();
    ledger.rebalance(&mut changes);
    assert_eq!(changes, [TokenChange::Grant(waiter, 2)]);
}

#[test]
fn a_finished_task_gives_its_token_to_the_session_with_the_greater_need() {
    let (holder, waiter) = (Session(1), Session(2));
    let mut ledger = Ledger::new(2);
    ledger.set_wanted(holder, 2);
    ledger.rebalance(&mut Vec::new());
    assert!(ledger.spend(holder) && ledger.spend(holder));
    ledger.set_wanted(holder, 1);
    ledger.set_wanted(waiter, 1);
    assert!(!ledger.finish(holder));
    let mut changes = Vec::new();
    ledger.rebalance(&mut changes);
    assert_eq!(changes, [TokenChange::Grant(waiter, 1)]);
    assert!(ledger.finish(holder));
}

#[test]
fn slots_are_shared_in_proportion_to_demand() {
    let (long, short) = (Session(1), Session(2));
    let mut ledger = Ledger::new(8);
    ledger.set_wanted(long, 30);
    ledger.set_wanted(short, 10);
    let mut changes = Vec::new();
    ledger.rebalance(&mut changes);
    changes.sort_by_key(
        |change| matches!(change, TokenChange::Grant(session, _) if *session == short),
    );
    assert_eq!(changes, [TokenChange::Grant(long, 6), TokenChange::Grant(short, 2)]);
}

#[test]
fn no_token_is_recalled_from_a_waiting_session() {
    let (busy, waiter) = (Session(1), Session(2));
    let mut ledger = Ledger::new(2);
    ledger.set_wanted(busy, 5);
    ledger.rebalance(&mut Vec::new());
    ledger.set_wanted(waiter, 1);
    let mut changes = Vec::new();
    ledger.rebalance(&mut changes);
    assert_eq!(changes, []);
}

#[test]
fn a_leaving_target_lends_no_tokens() {
    let session = Session(1);
    let mut ledger = Ledger::new(2);
    ledger.set_wanted(session, 2);
    ledger.rebalance(&mut Vec::new());
    assert!(ledger.spend(session));
    ledger.leave();
    assert!(!ledger.spend(session));
    assert!(!ledger.finish(session));
    let mut changes = Vec::new();
    ledger.set_wanted(session, 2);
    ledger.rebalance(&mut changes);
    assert_eq!(changes, []);
}
