//! An agent's decisions, one at a time.

mod support;

use std::time::Duration;

use model::JobId;
use runner::{Action, EndReason, Event, HoldReply, SessionId, StopReply, TargetReport};
use wire::{Refusal, TaskEnd, ToAgent, ToEntry};

use support::{Agent, SESSION, answer, empty, key, report};

#[test]
fn tasks_start_as_room_allows_the_urgent_first_and_ends_are_told() {
    let mut agent = Agent::new();
    agent.ask("later", 4, 1);
    let starts = agent.take_starts();
    assert_eq!(starts.len(), 4);
    agent.ask("late", 2, 1);
    agent.ask("urgent", 1, 0);
    assert_eq!(agent.take_starts().len(), 1, "five of 1.6 fit into 8 cores");
    agent.hold(&[], &[(1, &starts[0].key, EndReason::Done)]);
    assert_eq!(agent.ends(), [TaskEnd::Done]);
    assert_eq!(agent.starts[0].key.task.job, JobId::new("urgent"));
    assert_eq!(agent.holds[0].last_seen, 1, "the end is taken note of");
}

#[test]
fn a_task_that_finds_no_room_in_time_has_not_run() {
    let mut agent = Agent::new();
    agent.ask("a", 6, 0);
    assert_eq!(agent.take_starts().len(), 5);
    agent.run_for(40);
    assert_eq!(agent.ends(), [TaskEnd::NotRun(Refusal::Room)]);
    assert!(agent.starts.is_empty());
}

#[test]
fn each_life_of_the_agent_has_a_higher_token() {
    let first = Agent::at_target("t1", 5_000);
    let second = Agent::at_target("t1", 5_300);
    assert!(second.holds[0].fencing_token > first.holds[0].fencing_token);
    // A target that has seen a higher one all the same tells its clock.
    let mut agent = second;
    let order = agent.holds.pop().expect("a hold is under way");
    agent.handle(Event::HoldAnswered(order.target, HoldReply::StaleToken { clock_ms: 9_000 }));
    agent.run_for(50);
    assert!(agent.holds[0].fencing_token >= 9_000);
}

#[test]
fn what_an_earlier_life_started_is_stopped_and_its_lease_not_renewed() {
    let mut agent = Agent::at_target("t1", 5_000);
    assert_eq!(agent.holds[0].deadline_ms, None, "nothing is renewed before it is known");
    agent.handle(Event::SessionOpened(SESSION));
    let orphan = key("orphan", 3);
    agent.hold(&[&orphan], &[]);
    assert_eq!(agent.stops[0].key, orphan);
    assert_eq!(agent.holds[0].deadline_ms, None);
    agent.ask("new", 1, 0);
    assert!(agent.starts.is_empty(), "nothing starts beside an orphan");
    agent.hold(&[], &[(1, &orphan, EndReason::Stopped)]);
    assert!(agent.holds[0].deadline_ms.is_some());
    agent.ask("newer", 1, 0);
    assert_eq!(agent.starts.len(), 1);
}

#[test]
fn a_dead_session_has_its_runs_stopped() {
    let mut agent = Agent::new();
    agent.ask("a", 2, 0);
    let starts = agent.take_starts();
    agent.handle(Event::SessionClosed(SESSION));
    assert_eq!(agent.stops.len(), 2);
    for start in &starts {
        agent.handle(Event::StopAnswered(start.key.clone(), StopReply::Acknowledged));
    }
    agent.hold(&[], &[(1, &starts[0].key, EndReason::Stopped)]);
    agent.hold(&[], &[(2, &starts[1].key, EndReason::Stopped)]);
    assert!(agent.runner.is_idle());
    assert!(agent.reports.is_empty(), "nobody is there to be told");
}

#[test]
fn a_silent_entry_has_its_runs_stopped_before_clients_send_again() {
    let mut agent = Agent::new();
    agent.ask("a", 1, 0);
    agent.take_starts();
    for _ in 0..50 {
        agent.now = agent.now + Duration::from_millis(10);
        agent.handle(Event::Tick);
    }
    assert_eq!((agent.stops.len(), agent.closed.as_slice()), (1, [SESSION].as_slice()));
}

#[test]
fn a_target_that_leaves_gets_nothing_new() {
    let mut agent = Agent::new();
    agent.ask("a", 6, 0);
    assert_eq!(agent.take_starts().len(), 5);
    agent.handle(Event::TargetReported(TargetReport { draining: true, ..report("t1", 5_100) }));
    assert_eq!(agent.ends(), [TaskEnd::NotRun(Refusal::Closed)], "what waited");
    agent.ask("b", 1, 0);
    agent.run_for(20);
    assert_eq!(agent.ends()[1], TaskEnd::NotRun(Refusal::Closed));
    assert!(agent.starts.is_empty() && !agent.open);
}

#[test]
fn another_life_of_the_target_has_none_of_the_runs() {
    let mut agent = Agent::new();
    agent.ask("a", 2, 0);
    agent.take_starts();
    agent.handle(Event::TargetReported(report("t2", 40)));
    agent.run_for(20);
    assert!(agent.reports.is_empty(), "it may be a late report of an earlier life");
    assert!(answer(&mut agent, "t2", empty()), "it is asked, and is there");
    agent.run_for(20);
    assert_eq!(agent.ends(), [TaskEnd::Crashed, TaskEnd::Crashed]);
    // A report of the first life that was held up changes nothing.
    agent.holds.remove(0);
    agent.handle(Event::TargetReported(report("t1", 5_200)));
    agent.hold(&[], &[]);
    assert_eq!(&*agent.holds[0].target.id, "t2");
}

#[test]
fn a_target_that_fails_all_is_left_out_and_tried_with_one_task() {
    let mut agent = Agent::new();
    agent.ask("a", 4, 0);
    let starts = agent.take_starts();
    for (number, start) in starts.iter().enumerate() {
        agent.hold(&[], &[(number as u64 + 1, &start.key, EndReason::Failed)]);
    }
    agent.run_for(20);
    assert!(!agent.open, "left out");
    // The pause passes, with holds that keep the target heard of.
    for _ in 0..12 {
        agent.run_for(100);
        agent.holds.truncate(1);
        agent.hold(&[], &[]);
    }
    agent.ask("b", 3, 0);
    assert_eq!(agent.take_starts().len(), 1, "one on trial");
}

#[test]
fn an_agent_that_has_paused_gives_up_its_sessions() {
    let mut agent = Agent::new();
    agent.ask("a", 1, 0);
    agent.take_starts();
    agent.now = agent.now + Duration::from_secs(2);
    agent.ask("b", 1, 0);
    assert_eq!(agent.closed, [SESSION]);
    assert!(agent.starts.is_empty(), "what lay unread does not start");
}

#[test]
fn a_cancelled_job_is_stopped_and_not_started_any_more() {
    let mut agent = Agent::new();
    agent.ask("a", 1, 0);
    agent.take_starts();
    agent.handle(Event::FromEntry(SESSION, ToAgent::Cancel(JobId::new("a"))));
    assert_eq!(agent.stops.len(), 1);
    agent.handle(Event::FromEntry(SESSION, ToAgent::Cancel(JobId::new("b"))));
    agent.ask("b", 1, 0);
    assert!(agent.starts.is_empty());
}

#[test]
fn a_success_from_before_the_failures_does_not_take_a_target_back() {
    let mut agent = Agent::new();
    agent.ask("old", 1, 0);
    let old = agent.take_starts();
    agent.run_for(20);
    agent.ask("a", 4, 0);
    let starts = agent.take_starts();
    for (number, start) in starts.iter().enumerate() {
        agent.hold(&[], &[(number as u64 + 1, &start.key, EndReason::Failed)]);
    }
    agent.hold(&[], &[(9, &old[0].key, EndReason::Done)]);
    agent.run_for(20);
    assert!(!agent.open, "it began before the target turned bad");
}

#[test]
fn a_success_from_before_does_not_break_a_row_of_failures() {
    let mut agent = Agent::new();
    agent.ask("old", 1, 0);
    let old = agent.take_starts();
    agent.run_for(20);
    agent.ask("a", 4, 0);
    let starts = agent.take_starts();
    agent.hold(&[], &[(1, &starts[0].key, EndReason::Failed)]);
    agent.hold(&[], &[(2, &starts[1].key, EndReason::Failed)]);
    agent.hold(&[], &[(3, &old[0].key, EndReason::Done)]);
    agent.hold(&[], &[(4, &starts[2].key, EndReason::Failed)]);
    agent.hold(&[], &[(5, &starts[3].key, EndReason::Failed)]);
    agent.run_for(20);
    assert!(!agent.open);
}

#[test]
fn the_load_is_told_often_only_while_room_is_scarce() {
    // The target has room for five such tasks.
    let loads_while_starting = |first: u32| {
        let mut agent = Agent::new();
        agent.ask("first", first, 0);
        agent.take_starts();
        agent.run_for(200);
        agent.loads = 0;
        for number in 0..2 {
            agent.ask(&format!("b{number}"), 1, 0);
            agent.take_starts();
            agent.run_for(10);
        }
        agent.loads
    };
    assert!(loads_while_starting(0) <= 1, "plenty of room");
    assert_eq!(loads_while_starting(4), 2, "little room");
}

#[test]
fn each_entry_is_told_how_fast_the_others_take_room() {
    let mut agent = Agent::new();
    let other = SessionId(2);
    agent.handle(Event::SessionOpened(other));
    agent.ask("job", 4, 0);
    agent.take_starts();
    let mut actions = Vec::new();
    agent.now = agent.now + Duration::from_millis(100);
    agent.runner.handle(agent.now, Event::Tick, &mut actions);
    let told = |to: SessionId| {
        actions.iter().find_map(|action| match action {
            Action::Send(id, ToEntry::Load(load)) if *id == to => Some(load.taken_per_ms),
            _ => None,
        })
    };
    assert_eq!(told(SESSION), Some(0), "its own starts are known to it");
    // 6.4 cores over the memory of 300 ms, 100 ms ago.
    assert_eq!(told(other), Some(15));
}

#[test]
fn a_target_that_takes_work_again_is_told_of_at_once() {
    let mut agent = Agent::at_target("t1", 5_000);
    agent.handle(Event::SessionOpened(SESSION));
    agent.run_for(10);
    assert!(!agent.open, "what runs there is not known yet");
    agent.run_for(20);
    agent.holds.truncate(1);
    agent.hold(&[], &[]);
    agent.run_for(10);
    assert!(agent.open);
}

/// An entry for which nothing runs here has nothing that must be stopped once it is gone, and shows
/// seldom that it lives; one for which something runs is taken for dead after 450 ms, as the time after
/// which clients send again needs it.
#[test]
fn only_an_entry_for_which_something_runs_has_to_show_often_that_it_lives() {
    let silent_for = |millis: u64, busy: bool| {
        let mut agent = Agent::new();
        if busy {
            agent.ask("a", 1, 0);
            agent.take_starts();
        }
        for _ in 0..millis / 10 {
            agent.now = agent.now + Duration::from_millis(10);
            agent.handle(Event::Tick);
        }
        agent
    };
    assert!(silent_for(450, true).closed.is_empty());
    let busy = silent_for(470, true);
    assert_eq!(busy.closed, [SESSION]);
    assert_eq!(busy.stops.len(), 1);
    assert!(silent_for(900, false).closed.is_empty());
    assert_eq!(silent_for(920, false).closed, [SESSION]);
}

/// An entry that others serve from now on: what runs for it ends in its own time, starts that cross the
/// word on their way are carried out, and only then does the session end.
#[test]
fn a_retired_session_takes_no_more_work_and_ends_once_nothing_runs() {
    let mut agent = Agent::new();
    agent.ask("a", 1, 0);
    let first = agent.take_starts();
    agent.run_for(20);
    assert!(agent.open);
    agent.handle(Event::SessionRetired(SESSION));
    agent.run_for(20);
    assert!(!agent.open, "the entry is told to send no more");
    agent.ask("b", 1, 0);
    let second = agent.take_starts();
    assert_eq!(second.len(), 1, "a start that was under way");
    agent.run_for(100);
    let (one, two) = (&first[0].key, &second[0].key);
    agent.hold(&[two], &[(1, one, EndReason::Done)]);
    agent.run_for(100);
    agent.hold(&[], &[(2, two, EndReason::Done)]);
    assert_eq!(agent.ends(), [TaskEnd::Done, TaskEnd::Done]);
    assert!(agent.closed.is_empty(), "it has not been told for long enough");
    agent.run_for(400);
    assert_eq!(agent.closed, [SESSION]);
    assert_eq!(agent.runner.counters().sessions_lost, 0);
}

/// At a full target each of the entries that wait for room sends a task as soon as it is told of what has
/// become free: one runs, the others wait for nothing. What has become free is told to one of them, and to the other
/// once its turn has come; one that has sent nothing lately is told the truth.
#[test]
fn scarce_room_is_told_to_one_entry_at_a_time() {
    let mut agent = Agent::new();
    let (second, idle) = (SessionId(2), SessionId(3));
    agent.handle(Event::SessionOpened(second));
    agent.handle(Event::SessionOpened(idle));
    // All five tasks that the target has room for, of two entries.
    agent.ask("a", 3, 0);
    let (heard, job) = (agent.now, JobId::new("b"));
    let tasks = (0..2).map(|index| agent.task(index, 0)).collect();
    let start = ToAgent::Start { heard, job, spec: "spec".into(), tasks };
    agent.handle(Event::FromEntry(second, start));
    let starts = agent.take_starts();
    agent.run_for(100);
    // What each entry is told after an end, with the time since.
    let mut told = Vec::new();
    agent.hold(&[], &[(1, &starts[0].key, EndReason::Done)]);
    for tick in 0..30 {
        let mut actions = Vec::new();
        for session in [SESSION, second, idle] {
            let event = Event::FromEntry(session, ToAgent::Heartbeat { heard: agent.now });
            agent.runner.handle(agent.now, event, &mut actions);
        }
        let loads = actions.iter().filter_map(|action| match action {
            Action::Send(id, ToEntry::Load(load)) => Some((tick * 4, id.0, load.free.cpu_milli)),
            _ => None,
        });
        told.extend(loads);
        agent.now = agent.now + Duration::from_millis(4);
    }
    let first_told = |entry: u64| {
        told.iter().find(|(_, id, free)| *id == entry && *free == 1_600).map(|(at, ..)| *at)
    };
    assert_eq!(first_told(2), Some(8), "its turn comes after 8 ms: {told:?}");
    assert!(first_told(3).is_some(), "it may come to need it: {told:?}");
}
