//! Targets that restart under the same id, so that only the start time identifies an instance.
//! Guards against tasks that run twice, ends that are never reported, and a healthy target without
//! work.

mod support;

use std::time::Duration;

use model::Resources;
use runner::{
    EndReason, Event, HoldReply, RunKey, StartRefusal, StartReply, TargetEnd, TargetInstance,
    TargetReport, TargetRun,
};
use wire::TaskEnd;

use support::{Agent, CLOCK, SESSION, numbered_report, start_task};

/// Start time of the first instance, in ms of the Unix epoch.
const FIRST_START: u64 = 1_790_000_000_000;
/// Start time of the second instance.
const SECOND_START: u64 = FIRST_START + 90_000;

/// A run that started this long ago is listed by the target that runs it.
const LISTING_DELAY_MS: u64 = 120;

fn instance(started_ms: u64) -> TargetInstance {
    TargetInstance { started_ms: Some(started_ms), ..TargetInstance::from_id("t1") }
}

fn report_of(started_ms: u64, sequence: u64) -> TargetReport {
    TargetReport { instance: instance(started_ms), ..numbered_report("t1", sequence) }
}

/// The answer to a hold of the instance with this start time.
fn hold_reply(started_ms: u64, running: &[&RunKey], ended: &[(u64, &RunKey)]) -> HoldReply {
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

/// An agent whose target has reported its start time.
fn agent_with_first_instance() -> Agent {
    let mut agent = Agent::without_target();
    agent.handle(Event::TargetReported(report_of(FIRST_START, 900)));
    answer(&mut agent, FIRST_START, hold_reply(FIRST_START, &[], &[]));
    agent.handle(Event::SessionOpened(SESSION));
    agent
}

/// Answers the hold that was sent to the instance with start time `sent_for`; the answer may come
/// from another instance.
fn answer(agent: &mut Agent, sent_for: u64, reply: HoldReply) {
    let sent_for = instance(sent_for);
    let at =
        agent.holds.iter().position(|hold| hold.target == sent_for).expect("a hold is outstanding");
    agent.holds.remove(at);
    agent.handle(Event::HoldAnswered(sent_for, reply));
}

fn has_outstanding_hold(agent: &Agent, started_ms: u64) -> bool {
    agent.holds.iter().any(|hold| hold.target == instance(started_ms))
}

#[test]
fn next_instance_after_leave_gets_work() {
    let mut agent = agent_with_first_instance();
    agent.handle(Event::TargetLeft(instance(FIRST_START)));
    agent.handle(Event::TargetReported(report_of(SECOND_START, 1)));
    answer(&mut agent, SECOND_START, hold_reply(SECOND_START, &[], &[]));
    assert_eq!(start_task(&mut agent, "a"), [instance(SECOND_START)]);
}

#[test]
fn next_instance_after_crash_inherits_no_state() {
    let mut agent = agent_with_first_instance();
    agent.request("a", 2, 0);
    let starts = agent.take_starts();
    agent.run_for(LISTING_DELAY_MS);
    let hold = agent.holds.last().expect("a hold is outstanding").target.clone();
    assert_eq!(hold, instance(FIRST_START));
    answer(
        &mut agent,
        FIRST_START,
        hold_reply(FIRST_START, &[&starts[1].key], &[(57, &starts[0].key)]),
    );
    agent.run_for(20);
    let token = agent.holds.last().expect("a hold is outstanding").fencing_token;

    agent.handle(Event::TargetReported(report_of(SECOND_START, 1)));
    let probe = agent
        .holds
        .iter()
        .find(|hold| hold.target == instance(SECOND_START))
        .expect("the second instance is probed");
    assert_eq!((probe.last_seen, probe.deadline_ms), (0, None));
    assert!(probe.fencing_token > token, "the second instance refuses commands for the first");
    answer(&mut agent, SECOND_START, hold_reply(SECOND_START, &[], &[]));
    agent.run_for(20);
    assert_eq!(agent.ends(), [TaskEnd::Done, TaskEnd::Crashed]);

    agent.request("b", 1, 0);
    let start = agent.take_starts().pop().expect("a start was sent");
    assert_eq!(start.key.target, instance(SECOND_START));
    answer(&mut agent, SECOND_START, hold_reply(SECOND_START, &[], &[(1, &start.key)]));
    agent.run_for(20);
    assert_eq!(
        agent.ends().last(),
        Some(&TaskEnd::Done),
        "ends of the second instance are numbered from 1"
    );
    assert_eq!(agent.holds.last().map(|hold| hold.last_seen), Some(1));
}

#[test]
fn late_report_of_earlier_instance_is_ignored() {
    for drains in [false, true] {
        let mut agent = agent_with_first_instance();
        agent.handle(Event::TargetLeft(instance(FIRST_START)));
        agent.handle(Event::TargetReported(report_of(SECOND_START, 1)));
        answer(&mut agent, SECOND_START, hold_reply(SECOND_START, &[], &[]));
        agent.request("a", 1, 0);
        let start = agent.take_starts().pop().expect("a start was sent");
        let earlier = FIRST_START - 5_000;
        let late = TargetReport { draining: drains, ..report_of(earlier, 9_000) };
        agent.handle(Event::TargetReported(late.clone()));
        answer(&mut agent, earlier, hold_reply(SECOND_START, &[&start.key], &[]));
        agent.handle(Event::TargetReported(late));
        assert!(
            !has_outstanding_hold(&agent, earlier),
            "the earlier instance is known to have ended"
        );
        agent.run_for(20);
        assert!(agent.reports.is_empty());
        assert_eq!(start_task(&mut agent, "b"), [instance(SECOND_START)]);
    }
}

#[test]
fn hold_answered_by_next_instance_ends_previous_one() {
    let mut agent = agent_with_first_instance();
    agent.request("a", 1, 0);
    agent.take_starts();
    agent.run_for(LISTING_DELAY_MS);
    agent.handle(Event::TargetReported(report_of(SECOND_START, 1)));
    answer(&mut agent, FIRST_START, hold_reply(SECOND_START, &[], &[]));
    agent.run_for(20);
    assert_eq!(agent.ends(), [TaskEnd::Crashed]);
    answer(&mut agent, SECOND_START, hold_reply(SECOND_START, &[], &[]));
    assert_eq!(start_task(&mut agent, "b"), [instance(SECOND_START)]);
}

#[test]
fn instance_gets_no_work_before_its_first_report() {
    let mut agent = agent_with_first_instance();
    agent.request("a", 1, 0);
    agent.take_starts();
    agent.run_for(LISTING_DELAY_MS);
    answer(&mut agent, FIRST_START, hold_reply(SECOND_START, &[], &[]));
    agent.run_for(20);
    assert_eq!(agent.ends(), [TaskEnd::Crashed]);
    answer(&mut agent, SECOND_START, hold_reply(SECOND_START, &[], &[]));
    assert!(start_task(&mut agent, "b").is_empty());
    let small = Resources { cpu_milli: 2_000, memory_mb: 1_024, gpu: 0 };
    agent.handle(Event::TargetReported(TargetReport {
        capacity: small,
        ..report_of(SECOND_START, 1)
    }));
    agent.request("c", 2, 0);
    assert_eq!(agent.take_starts().len(), 1, "the reported capacity holds one task");
}

/// A start that is in flight while its target restarts is accepted by the next instance, which has
/// the same id. The task must not start elsewhere before that run is stopped.
#[test]
fn start_accepted_by_next_instance_is_stopped_before_it_is_lost() {
    let mut agent = agent_with_first_instance();
    agent.request("a", 2, 0);
    let starts = agent.take_starts();
    agent.run_for(LISTING_DELAY_MS);
    agent.handle(Event::TargetReported(report_of(SECOND_START, 1)));
    answer(&mut agent, SECOND_START, hold_reply(SECOND_START, &[&starts[0].key], &[]));
    agent.run_for(20);
    assert_eq!(agent.ends(), [TaskEnd::Crashed], "the task that the next instance does not list");
    let stop = agent.stops.pop().expect("a stop was sent for the listed task");
    assert_eq!((&stop.key.task, &stop.key.target), (&starts[0].key.task, &instance(SECOND_START)));
    agent.handle(Event::StopAnswered(stop.key, runner::StopReply::Acknowledged));
    agent.run_for(100);
    assert_eq!(agent.ends(), [TaskEnd::Crashed, TaskEnd::Lost]);
}

#[test]
fn leave_without_start_time_needs_confirmation() {
    let mut agent = agent_with_first_instance();
    agent.request("a", 1, 0);
    let start = agent.take_starts().pop().expect("a start was sent");
    agent.run_for(20);
    agent.handle(Event::TargetLeft(TargetInstance::from_id("t1")));
    agent.run_for(20);
    assert!(agent.reports.is_empty() && !agent.open, "no new work, and no run is lost yet");
    // The outstanding hold may have been answered before the target left.
    answer(&mut agent, FIRST_START, hold_reply(FIRST_START, &[&start.key], &[]));
    agent.run_for(20);
    assert!(!agent.open);
    answer(&mut agent, FIRST_START, hold_reply(FIRST_START, &[&start.key], &[]));
    agent.run_for(20);
    assert!(agent.open && agent.reports.is_empty(), "the leave was of an earlier instance");
    agent.handle(Event::TargetLeft(TargetInstance::from_id("t1")));
    agent.run_for(1_500);
    assert_eq!(agent.ends(), [TaskEnd::Lost], "the target has left: its lease has expired");
}

/// Guards against a lease that is renewed although the target may have announced its end, and one
/// that is not renewed any more after a late leave of an earlier instance.
#[test]
fn leave_without_start_time_suspends_renewal_until_it_is_disproved() {
    let mut agent = agent_with_first_instance();
    agent.request("a", 1, 0);
    let start = agent.take_starts().pop().expect("a start was sent");
    agent.run_for(20);
    agent.handle(Event::TargetLeft(TargetInstance::from_id("t1")));
    assert!(agent.stops.is_empty(), "the runs may be those of a healthy instance");
    agent.run_for(20);
    // The first answer is to the hold that was outstanding when the leave arrived.
    for renews in [false, true] {
        answer(&mut agent, FIRST_START, hold_reply(FIRST_START, &[&start.key], &[]));
        agent.run_for(20);
        let hold = agent.holds.last().expect("a hold is outstanding");
        assert_eq!(hold.deadline_ms.is_some(), renews);
    }
    assert!(agent.reports.is_empty());
}

#[test]
fn leave_with_start_time_confirms_one_without() {
    let mut agent = agent_with_first_instance();
    agent.request("a", 1, 0);
    let start = agent.take_starts().pop().expect("a start was sent");
    agent.run_for(20);
    agent.handle(Event::TargetLeft(TargetInstance::from_id("t1")));
    agent.handle(Event::TargetLeft(instance(FIRST_START)));
    assert_eq!(agent.stops.len(), 1);
    for _ in 0..5 {
        answer(&mut agent, FIRST_START, hold_reply(FIRST_START, &[&start.key], &[]));
        agent.run_for(20);
        assert!(!agent.open && agent.reports.is_empty());
    }
    agent.run_for(1_000);
    assert_eq!(agent.ends(), [TaskEnd::Lost]);
}

#[test]
fn late_leave_of_earlier_instance_is_ignored() {
    let mut agent = agent_with_first_instance();
    agent.request("a", 1, 0);
    agent.take_starts();
    agent.handle(Event::TargetLeft(instance(FIRST_START - 1)));
    agent.run_for(20);
    assert!(agent.reports.is_empty() && agent.open);
}

#[test]
fn report_without_start_time_only_announces_draining() {
    let mut agent = agent_with_first_instance();
    let of_another = TargetReport { capacity: Default::default(), ..numbered_report("t1", 9_000) };
    agent.handle(Event::TargetReported(of_another.clone()));
    agent.handle(Event::TargetReported(report_of(FIRST_START, 901)));
    assert_eq!(
        start_task(&mut agent, "a"),
        [instance(FIRST_START)],
        "the target's capacity is unchanged"
    );
    // The announcement of a leave takes effect all the same.
    agent.handle(Event::TargetReported(TargetReport { draining: true, ..of_another }));
    assert!(start_task(&mut agent, "b").is_empty());
}

#[test]
fn start_time_learned_from_answer_keeps_the_instance() {
    let mut agent = Agent::without_target();
    agent.handle(Event::TargetReported(numbered_report("t1", 5)));
    let hold = agent.holds.pop().expect("a hold is outstanding");
    agent.handle(Event::HoldAnswered(hold.target, hold_reply(FIRST_START, &[], &[])));
    agent.handle(Event::SessionOpened(SESSION));
    agent.request("a", 1, 0);
    let start = agent.take_starts().pop().expect("a start was sent");
    agent.handle(Event::TargetReported(report_of(FIRST_START, 1)));
    agent.run_for(20);
    assert!(!has_outstanding_hold(&agent, SECOND_START) && agent.reports.is_empty());
    answer(&mut agent, FIRST_START, hold_reply(FIRST_START, &[], &[(1, &start.key)]));
    agent.run_for(20);
    assert_eq!(agent.ends(), [TaskEnd::Done]);
}

/// The wall clock of the target's host was set back before the restart.
#[test]
fn earlier_start_time_is_another_instance() {
    let mut agent = agent_with_first_instance();
    let token = agent.holds.last().map_or(0, |hold| hold.fencing_token);
    let back = FIRST_START - 3_600_000;
    agent.handle(Event::TargetReported(report_of(back, 1)));
    answer(&mut agent, back, hold_reply(back, &[], &[]));
    let start = start_task(&mut agent, "a");
    assert_eq!(start, [instance(back)]);
    assert!(agent.holds.last().is_some_and(|hold| hold.fencing_token >= token));
}

/// The current instance answers the probe of an earlier one, as both have the same id, and refuses
/// its token.
#[test]
fn refused_token_does_not_identify_the_instance() {
    let mut agent = agent_with_first_instance();
    agent.request("a", 1, 0);
    let start = agent.take_starts().pop().expect("a start was sent");
    let earlier = FIRST_START - 5_000;
    agent.handle(Event::TargetReported(report_of(earlier, 9_000)));
    answer(&mut agent, earlier, HoldReply::StaleToken { clock_ms: CLOCK });
    agent.run_for(30);
    assert!(agent.reports.is_empty());
    answer(&mut agent, earlier, hold_reply(FIRST_START, &[&start.key], &[]));
    agent.run_for(20);
    assert!(agent.reports.is_empty());
    assert_eq!(start_task(&mut agent, "b"), [instance(FIRST_START)]);
}

/// A delayed command of an earlier agent process, meant for an earlier instance, has left the
/// target with a token that is hours ahead.
#[test]
fn token_far_ahead_is_reached_within_few_refusals() {
    let mut agent = agent_with_first_instance();
    agent.run_for(20);
    let token_at_target = FIRST_START + 48 * 3_600_000;
    let mut refusals = 0;
    loop {
        let hold = agent.holds.last().expect("a hold is outstanding");
        if hold.fencing_token >= token_at_target {
            break;
        }
        refusals += 1;
        answer(&mut agent, FIRST_START, HoldReply::StaleToken { clock_ms: CLOCK });
        agent.run_for(20);
    }
    assert!(refusals <= 30, "{refusals} refusals");
    agent.request("a", 1, 0);
    let start = agent.starts.pop().expect("a start was sent");
    let (clock_ms, reason) = (CLOCK, StartRefusal::StaleToken);
    agent.handle(Event::StartAnswered(start.key, StartReply::Refused { clock_ms, reason }));
    assert!(agent.starts.pop().is_some_and(|again| again.fencing_token > start.fencing_token));
}

/// The target refuses every token for minutes; the token must stay exactly representable in JSON.
#[test]
fn fencing_token_has_upper_bound() {
    let mut agent = agent_with_first_instance();
    agent.run_for(20);
    for _ in 0..9_000 {
        answer(&mut agent, FIRST_START, HoldReply::StaleToken { clock_ms: CLOCK });
        agent.run_for(20);
    }
    let token = agent.holds.last().expect("a hold is outstanding").fencing_token;
    assert!(token <= 1 << 53, "{token}");
}

#[test]
fn next_instance_resolves_unconfirmed_leave() {
    let mut agent = agent_with_first_instance();
    agent.handle(Event::TargetLeft(TargetInstance::from_id("t1")));
    agent.now = agent.now + Duration::from_millis(10);
    agent.handle(Event::TargetReported(report_of(SECOND_START, 1)));
    answer(&mut agent, SECOND_START, hold_reply(SECOND_START, &[], &[]));
    assert_eq!(start_task(&mut agent, "a"), [instance(SECOND_START)]);
}
