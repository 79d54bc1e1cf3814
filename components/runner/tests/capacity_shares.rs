//! Tests of the offers of scarce capacity to entries that report their waiting work.

use std::time::Duration;

use runner::{
    Action, EndReason, Event, HoldCommand, HoldReply, LogEvent, RunKey, SessionId, SessionOffers,
    TargetEnd, TargetRun,
};
use support::{Agent, SESSION};
use wire::{Demand, ToAgent, ToEntry};

mod support;

const SECOND: SessionId = SessionId(2);

/// An agent whose target has room for five tasks and has just ended one of five, with two sessions.
fn agent_with_freed_capacity() -> Agent {
    let (mut agent, first) = agent_with_full_target();
    agent.answer_outstanding_hold(&[], &[(1, &first, EndReason::Done)]);
    agent
}

/// An agent whose target runs five tasks, with two sessions; returns the first run.
fn agent_with_full_target() -> (Agent, RunKey) {
    let mut agent = Agent::new();
    agent.handle(Event::SessionOpened(SECOND));
    agent.request("a", 5, 0);
    let starts = agent.take_starts();
    agent.run_for(100);
    (agent, starts[0].key.clone())
}

/// Sends a demand of the session, and returns all loads and log events that follow at once.
fn report(
    agent: &mut Agent,
    session: SessionId,
    waiting: &[(u8, u32)],
) -> (Vec<(u64, u64)>, Vec<LogEvent>) {
    let row = |(priority, tasks): &(u8, u32)| Demand {
        priority: *priority,
        tasks: *tasks,
        cpu_milli: 1_600 * u64::from(*tasks),
        due_ms: 40,
    };
    let waiting = waiting.iter().map(row).collect();
    let message = ToAgent::Demand { agent_clock: agent.now, waiting };
    let mut actions = Vec::new();
    agent.runner.handle(agent.now, Event::FromEntry(session, message), &mut actions);
    let (mut loads, mut logged) = (Vec::new(), Vec::new());
    for action in actions {
        match action {
            Action::Send(id, ToEntry::Load(load)) => loads.push((id.0, load.free.cpu_milli)),
            Action::Send(id, ToEntry::Ended { load, .. }) => {
                loads.push((id.0, load.free.cpu_milli))
            }
            Action::Log(event) => logged.push(event),
            _ => {}
        }
    }
    (loads, logged)
}

/// The times in ms at which each session was reported free capacity, while both report in each
/// millisecond.
fn offers_during(agent: &mut Agent, ms: u64, demands: [&[(u8, u32)]; 2]) -> [Vec<u64>; 2] {
    let mut offers = [Vec::new(), Vec::new()];
    for at in 0..ms {
        for (session, waiting) in [SESSION, SECOND].into_iter().zip(demands) {
            let (loads, _) = report(agent, session, waiting);
            for (id, free) in loads {
                if free > 0 {
                    offers[id as usize - 1].push(at);
                }
            }
        }
        agent.now = agent.now + Duration::from_millis(1);
    }
    offers
}

/// The number of turns of each session.
fn turns(agent: &Agent) -> Vec<u64> {
    agent.runner.offers().map(|offers| offers.turns).collect()
}

/// Guards against capacity that is offered to entries in equal turns although only one waits, and
/// to an entry that has not sent a start yet.
#[test]
fn freed_capacity_is_offered_to_the_entry_that_waits() {
    let mut agent = agent_with_freed_capacity();
    let before = turns(&agent);
    let offers = offers_during(&mut agent, 320, [&[], &[(0, 3)]]);
    assert!(!offers[1].is_empty(), "{offers:?}");
    assert_eq!(agent.runner.counters().demands, 640);
    let after = turns(&agent);
    let (idle, waiting) = (after[0] - before[0], after[1] - before[1]);
    assert!(waiting >= 34 && idle <= 6 && idle > 0, "{idle} and {waiting} turns");
}

/// Guards against a demand that is kept although its session has ended.
#[test]
fn a_demand_ends_with_its_session() {
    let mut agent = agent_with_freed_capacity();
    report(&mut agent, SECOND, &[(0, 1_000)]);
    agent.handle(Event::SessionClosed(SECOND));
    let before = turns(&agent);
    for _ in 0..10 {
        report(&mut agent, SESSION, &[(2, 1)]);
        agent.now = agent.now + Duration::from_millis(8);
    }
    // All of the turns; the last one from before may go on at the start.
    let after = turns(&agent);
    assert!(after.len() == 1 && after[0] >= before[0] + 9, "{before:?}, then {after:?}");
}

/// Guards against a retired session that is still offered capacity.
#[test]
fn a_retired_session_has_no_claim() {
    let mut agent = agent_with_freed_capacity();
    agent.handle(Event::SessionRetired(SECOND));
    report(&mut agent, SECOND, &[(0, 1_000)]);
    assert_eq!(agent.runner.counters().demands, 0);
}

/// Guards against operators who cannot see what sessions were offered, and against a log that
/// grows with each turn.
#[test]
fn a_period_of_scarcity_is_logged_at_its_start_and_end() {
    let (mut agent, first) = agent_with_full_target();
    let ended = TargetEnd {
        number: 1,
        run: Some(TargetRun { task: first.task, run: first.run }),
        reason: EndReason::Done,
    };
    let HoldCommand { target, .. } = agent.holds.pop().unwrap();
    let (running, ended) = (Vec::new(), vec![ended]);
    let reply = HoldReply::Runs { started_ms: None, clock_ms: 0, running, ended };
    let mut actions = Vec::new();
    agent.runner.handle(agent.now, Event::HoldAnswered(target, reply), &mut actions);
    let mut logged: Vec<LogEvent> = actions
        .into_iter()
        .filter_map(|action| match action {
            Action::Log(event) => Some(event),
            _ => None,
        })
        .collect();
    for at in 0..2_000 {
        let waiting: &[(u8, u32)] = if at < 200 { &[(1, 2)] } else { &[] };
        for session in [SESSION, SECOND] {
            logged.extend(report(&mut agent, session, waiting).1);
        }
        agent.now = agent.now + Duration::from_millis(1);
    }
    logged.retain(|event| {
        matches!(event, LogEvent::CapacityScarce { .. } | LogEvent::CapacityOffered { .. })
    });
    // The target does not answer holds any more, so that nothing is offered in the last second.
    let [LogEvent::CapacityScarce { .. }, LogEvent::CapacityOffered { for_ms, offers }] =
        logged.as_slice()
    else {
        panic!("{logged:?}");
    };
    assert!((200..1_100).contains(for_ms), "{for_ms} ms");
    let [SessionOffers { turns: most, .. }, SessionOffers { turns: fewest, used: 0, .. }] =
        offers.as_slice()
    else {
        panic!("{offers:?}");
    };
    assert!(*fewest >= 8 && most >= fewest);
}
