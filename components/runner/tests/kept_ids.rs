//! Targets that start again under the id that they had.
//!
//! Users would see tasks run twice, tasks that nobody hears the end of, and a sound target that gets no more work: an agent
//! that takes the next life for the one before carries over what that one ran and said, or takes every report of it for a
//! late one. Only the moment of its start tells a life apart; an order names the id alone.

mod support;

use std::time::Duration;

use model::Resources;
use runner::{
    EndReason, Event, HoldReply, RunKey, StartRefusal, StartReply, TargetEnd, TargetInstance,
    TargetReport, TargetRun,
};
use wire::TaskEnd;

use support::{Agent, CLOCK, SESSION, numbered, started_at};

/// When the first life started, in ms of the Unix epoch.
const FIRST: u64 = 1_790_000_000_000;
/// When the second did.
const SECOND: u64 = FIRST + 90_000;

/// A run that began so long ago is listed by whoever runs it.
const LISTED_AFTER_MS: u64 = 120;

fn life(started_ms: u64) -> TargetInstance {
    TargetInstance { started_ms: Some(started_ms), ..TargetInstance::from_id("t1") }
}

fn report_of(started_ms: u64, sequence: u64) -> TargetReport {
    TargetReport { instance: life(started_ms), ..numbered("t1", sequence) }
}

/// What a life lists that has started then.
fn lists(started_ms: u64, running: &[&RunKey], ended: &[(u64, &RunKey)]) -> HoldReply {
    let run = |key: &RunKey| TargetRun { task: key.task.clone(), run: key.run };
    let end = |(number, key): &(u64, &RunKey)| TargetEnd {
        number: *number,
        run: Some(run(key)),
        reason: EndReason::Done,
    };
    HoldReply::Runs {
        started_ms: Some(started_ms),
        clock_ms: CLOCK,
        running: running.iter().map(|key| run(key)).collect(),
        ended: ended.iter().map(end).collect(),
    }
}

/// An agent whose target has told the moment of its start.
fn agent() -> Agent {
    let mut agent = Agent::waiting_for_target();
    agent.handle(Event::TargetReported(report_of(FIRST, 900)));
    answer(&mut agent, FIRST, lists(FIRST, &[], &[]));
    agent.handle(Event::SessionOpened(SESSION));
    agent
}

/// Answers the hold that was sent for a life, whoever takes it.
fn answer(agent: &mut Agent, sent_for: u64, reply: HoldReply) {
    let sent_for = life(sent_for);
    let at = agent.holds.iter().position(|hold| hold.target == sent_for).expect("a hold is sent");
    agent.holds.remove(at);
    agent.handle(Event::HoldAnswered(sent_for, reply));
}

fn is_asked(agent: &Agent, started_ms: u64) -> bool {
    agent.holds.iter().any(|hold| hold.target == life(started_ms))
}

#[test]
fn the_next_life_of_a_target_that_has_left_gets_work() {
    let mut agent = agent();
    agent.handle(Event::TargetLeft(life(FIRST)));
    agent.handle(Event::TargetReported(report_of(SECOND, 1)));
    answer(&mut agent, SECOND, lists(SECOND, &[], &[]));
    assert_eq!(started_at(&mut agent, "a"), [life(SECOND)]);
}

#[test]
fn the_next_life_of_a_target_that_crashed_has_nothing_of_the_one_before() {
    let mut agent = agent();
    agent.ask("a", 2, 0);
    let starts = agent.take_starts();
    agent.run_for(LISTED_AFTER_MS);
    let hold = agent.holds.last().expect("a hold is under way").target.clone();
    assert_eq!(hold, life(FIRST));
    answer(&mut agent, FIRST, lists(FIRST, &[&starts[1].key], &[(57, &starts[0].key)]));
    agent.run_for(20);
    let token = agent.holds.last().expect("a hold is under way").fencing_token;

    agent.handle(Event::TargetReported(report_of(SECOND, 1)));
    let asked = agent.holds.iter().find(|hold| hold.target == life(SECOND)).expect("it is asked");
    assert_eq!((asked.last_seen, asked.deadline_ms), (0, None));
    assert!(asked.fencing_token > token, "what was ordered of the first life is refused there");
    answer(&mut agent, SECOND, lists(SECOND, &[], &[]));
    agent.run_for(20);
    assert_eq!(agent.ends(), [TaskEnd::Done, TaskEnd::Crashed]);

    agent.ask("b", 1, 0);
    let start = agent.take_starts().pop().expect("it is started");
    assert_eq!(start.key.target, life(SECOND));
    answer(&mut agent, SECOND, lists(SECOND, &[], &[(1, &start.key)]));
    agent.run_for(20);
    assert_eq!(agent.ends().last(), Some(&TaskEnd::Done), "its ends are counted from 1");
    assert_eq!(agent.holds.last().map(|hold| hold.last_seen), Some(1));
}

#[test]
fn a_late_report_of_an_earlier_life_costs_the_present_one_nothing() {
    for drains in [false, true] {
        let mut agent = agent();
        agent.handle(Event::TargetLeft(life(FIRST)));
        agent.handle(Event::TargetReported(report_of(SECOND, 1)));
        answer(&mut agent, SECOND, lists(SECOND, &[], &[]));
        agent.ask("a", 1, 0);
        let start = agent.take_starts().pop().expect("it is started");
        let earlier = FIRST - 5_000;
        let late = TargetReport { draining: drains, ..report_of(earlier, 9_000) };
        agent.handle(Event::TargetReported(late.clone()));
        answer(&mut agent, earlier, lists(SECOND, &[&start.key], &[]));
        agent.handle(Event::TargetReported(late));
        assert!(!is_asked(&agent, earlier), "it is known to be over");
        agent.run_for(20);
        assert!(agent.reports.is_empty());
        assert_eq!(started_at(&mut agent, "b"), [life(SECOND)]);
    }
}

#[test]
fn a_hold_that_the_next_life_answers_ends_the_one_before() {
    let mut agent = agent();
    agent.ask("a", 1, 0);
    agent.take_starts();
    agent.run_for(LISTED_AFTER_MS);
    agent.handle(Event::TargetReported(report_of(SECOND, 1)));
    answer(&mut agent, FIRST, lists(SECOND, &[], &[]));
    agent.run_for(20);
    assert_eq!(agent.ends(), [TaskEnd::Crashed]);
    answer(&mut agent, SECOND, lists(SECOND, &[], &[]));
    assert_eq!(started_at(&mut agent, "b"), [life(SECOND)]);
}

#[test]
fn a_life_that_has_answered_gets_no_work_before_it_reports_what_it_has() {
    let mut agent = agent();
    agent.ask("a", 1, 0);
    agent.take_starts();
    agent.run_for(LISTED_AFTER_MS);
    answer(&mut agent, FIRST, lists(SECOND, &[], &[]));
    agent.run_for(20);
    assert_eq!(agent.ends(), [TaskEnd::Crashed]);
    answer(&mut agent, SECOND, lists(SECOND, &[], &[]));
    assert!(started_at(&mut agent, "b").is_empty());
    let small = Resources { cpu_milli: 2_000, memory_mb: 1_024, gpu: 0 };
    agent.handle(Event::TargetReported(TargetReport { capacity: small, ..report_of(SECOND, 1) }));
    agent.ask("c", 2, 0);
    assert_eq!(agent.take_starts().len(), 1, "it has room for one");
}

/// A start is sent in the moment in which its target crashes and is back: the next life takes it, as it has the id. The task
/// must not begin elsewhere before that run is stopped.
#[test]
fn what_the_next_life_took_of_the_one_before_is_stopped_before_it_is_lost() {
    let mut agent = agent();
    agent.ask("a", 2, 0);
    let starts = agent.take_starts();
    agent.run_for(LISTED_AFTER_MS);
    agent.handle(Event::TargetReported(report_of(SECOND, 1)));
    answer(&mut agent, SECOND, lists(SECOND, &[&starts[0].key], &[]));
    agent.run_for(20);
    assert_eq!(agent.ends(), [TaskEnd::Crashed], "of the one that is not there");
    let stop = agent.stops.pop().expect("the other one is stopped");
    assert_eq!((&stop.key.task, &stop.key.target), (&starts[0].key.task, &life(SECOND)));
    agent.handle(Event::StopAnswered(stop.key, runner::StopReply::Acknowledged));
    agent.run_for(100);
    assert_eq!(agent.ends(), [TaskEnd::Crashed, TaskEnd::Lost]);
}

#[test]
fn a_leave_that_does_not_tell_the_life_is_doubted() {
    let mut agent = agent();
    agent.ask("a", 1, 0);
    let start = agent.take_starts().pop().expect("it is started");
    agent.run_for(20);
    agent.handle(Event::TargetLeft(TargetInstance::from_id("t1")));
    agent.run_for(20);
    assert!(agent.reports.is_empty() && !agent.open, "no new work, and nothing is lost yet");
    // The hold that was under way may have been answered before the target left.
    answer(&mut agent, FIRST, lists(FIRST, &[&start.key], &[]));
    agent.run_for(20);
    assert!(!agent.open);
    answer(&mut agent, FIRST, lists(FIRST, &[&start.key], &[]));
    agent.run_for(20);
    assert!(agent.open && agent.reports.is_empty(), "it was of an earlier life");
    agent.handle(Event::TargetLeft(TargetInstance::from_id("t1")));
    agent.run_for(1_500);
    assert_eq!(agent.ends(), [TaskEnd::Lost], "it has left: its lease has run out");
}

#[test]
fn a_late_leave_of_an_earlier_life_costs_the_present_one_nothing() {
    let mut agent = agent();
    agent.ask("a", 1, 0);
    agent.take_starts();
    agent.handle(Event::TargetLeft(life(FIRST - 1)));
    agent.run_for(20);
    assert!(agent.reports.is_empty() && agent.open);
}

#[test]
fn a_report_that_leaves_the_start_out_names_no_target_to_use() {
    let mut agent = agent();
    let of_another = TargetReport { capacity: Default::default(), ..numbered("t1", 9_000) };
    agent.handle(Event::TargetReported(of_another.clone()));
    agent.handle(Event::TargetReported(report_of(FIRST, 901)));
    assert_eq!(started_at(&mut agent, "a"), [life(FIRST)], "it has its room");
    // That a target is about to leave counts all the same.
    agent.handle(Event::TargetReported(TargetReport { draining: true, ..of_another }));
    assert!(started_at(&mut agent, "b").is_empty());
}

#[test]
fn a_target_whose_answers_alone_tell_its_start_is_one_life() {
    let mut agent = Agent::waiting_for_target();
    agent.handle(Event::TargetReported(numbered("t1", 5)));
    let hold = agent.holds.pop().expect("a hold is under way");
    agent.handle(Event::HoldAnswered(hold.target, lists(FIRST, &[], &[])));
    agent.handle(Event::SessionOpened(SESSION));
    agent.ask("a", 1, 0);
    let start = agent.take_starts().pop().expect("it is started");
    agent.handle(Event::TargetReported(report_of(FIRST, 1)));
    agent.run_for(20);
    assert!(!is_asked(&agent, SECOND) && agent.reports.is_empty());
    answer(&mut agent, FIRST, lists(FIRST, &[], &[(1, &start.key)]));
    agent.run_for(20);
    assert_eq!(agent.ends(), [TaskEnd::Done]);
}

/// The time of day of the target's host was set back before it started again.
#[test]
fn a_start_that_is_earlier_by_its_clock_is_another_life_all_the_same() {
    let mut agent = agent();
    let token = agent.holds.last().map_or(0, |hold| hold.fencing_token);
    let back = FIRST - 3_600_000;
    agent.handle(Event::TargetReported(report_of(back, 1)));
    answer(&mut agent, back, lists(back, &[], &[]));
    let start = started_at(&mut agent, "a");
    assert_eq!(start, [life(back)]);
    assert!(agent.holds.last().is_some_and(|hold| hold.fencing_token >= token));
}

/// The target is the one that refuses the token: it has the id of the life whose late report came.
#[test]
fn a_refused_token_does_not_show_that_another_life_is_there() {
    let mut agent = agent();
    agent.ask("a", 1, 0);
    let start = agent.take_starts().pop().expect("it is started");
    let earlier = FIRST - 5_000;
    agent.handle(Event::TargetReported(report_of(earlier, 9_000)));
    answer(&mut agent, earlier, HoldReply::StaleToken { clock_ms: CLOCK });
    agent.run_for(30);
    assert!(agent.reports.is_empty());
    answer(&mut agent, earlier, lists(FIRST, &[&start.key], &[]));
    agent.run_for(20);
    assert!(agent.reports.is_empty());
    assert_eq!(started_at(&mut agent, "b"), [life(FIRST)]);
}

/// An order of an earlier life of the agent, meant for an earlier life of the target, was carried out late: the target
/// has seen a token that is hours ahead of all that this agent knows.
#[test]
fn a_token_that_is_far_ahead_is_reached_after_few_refusals() {
    let mut agent = agent();
    agent.run_for(20);
    let seen = FIRST + 48 * 3_600_000;
    let mut refusals = 0;
    loop {
        let hold = agent.holds.last().expect("a hold is under way");
        if hold.fencing_token >= seen {
            break;
        }
        refusals += 1;
        answer(&mut agent, FIRST, HoldReply::StaleToken { clock_ms: CLOCK });
        agent.run_for(20);
    }
    assert!(refusals <= 30, "{refusals} refusals");
    agent.ask("a", 1, 0);
    let start = agent.starts.pop().expect("it is started");
    let (clock_ms, reason) = (CLOCK, StartRefusal::StaleToken);
    agent.handle(Event::StartAnswered(start.key, StartReply::Refused { clock_ms, reason }));
    assert!(agent.starts.pop().is_some_and(|again| again.fencing_token > start.fencing_token));
}

/// A target answers every hold as if the token were too low, for minutes: the token stays what a body can tell.
#[test]
fn a_target_that_refuses_every_token_does_not_bring_it_beyond_all_numbers() {
    let mut agent = agent();
    agent.run_for(20);
    for _ in 0..9_000 {
        answer(&mut agent, FIRST, HoldReply::StaleToken { clock_ms: CLOCK });
        agent.run_for(20);
    }
    let token = agent.holds.last().expect("a hold is under way").fencing_token;
    assert!(token <= 1 << 53, "{token}");
}

#[test]
fn a_leave_without_runs_ends_with_the_next_life_at_once() {
    let mut agent = agent();
    agent.handle(Event::TargetLeft(TargetInstance::from_id("t1")));
    agent.now = agent.now + Duration::from_millis(10);
    agent.handle(Event::TargetReported(report_of(SECOND, 1)));
    answer(&mut agent, SECOND, lists(SECOND, &[], &[]));
    assert_eq!(started_at(&mut agent, "a"), [life(SECOND)]);
}
