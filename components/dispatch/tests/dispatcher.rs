//! An entry's decisions, one at a time.

mod support;

use std::sync::Arc;
use std::time::Duration;

use dispatch::{Event, Outcome, Reason, SessionId};
use model::{JobId, NodeName, Resources};
use wire::{AgentProfile, EmptiedHalls, Load, Refusal, TaskEnd, ToAgent, ToEntry};

use support::{Entry, job};

#[test]
fn a_job_is_spread_over_the_freest_agents_and_answered_whole() {
    let mut entry = Entry::with_agents([16_000, 12_000]);
    let call = entry.submit(job(6, 200));
    let starts = entry.starts();
    assert_eq!(starts.len(), 6);
    let at = |id| starts.iter().filter(|(agent, ..)| *agent == id).count();
    assert_eq!((at(1), at(2)), (4, 2), "the freest first");
    for (count, start) in starts.iter().enumerate() {
        assert_eq!(entry.answer(call), None, "after {count} of 6 tasks");
        entry.report(start, TaskEnd::Done);
    }
    assert_eq!(entry.answer(call), Some(Outcome::Completed));
}

#[test]
fn requirements_affinity_and_distance_are_kept_to() {
    let mut entry = Entry::new();
    entry.agent(1, 16_000, &["a", "r1"]);
    entry.agent(2, 8_000, &["b", "r2"]);
    entry.agent(3, 8_000, &["b", "r3"]);
    let mut request = job(1, 200);
    request.shape.requirement = Some(Arc::from("b"));
    request.shape.affinity = Some(Arc::from("r3"));
    entry.submit(request);
    assert_eq!(entry.starts()[0].0, 3);
    let mut request = job(5, 200);
    request.id = JobId::new("00000000000000b1");
    request.shape.max_per_target = Some(1);
    entry.submit(request);
    let mut agents: Vec<u64> = entry.starts().iter().map(|(agent, ..)| *agent).collect();
    agents.sort_unstable();
    assert_eq!(agents, [1, 2, 3], "one on each, two wait");
}

#[test]
fn a_refused_start_is_placed_elsewhere_without_an_attempt() {
    let mut entry = Entry::with_agents([16_000, 8_000]);
    let call = entry.submit(job(1, 200));
    for _ in 0..3 {
        let starts = entry.starts();
        entry.report(&starts[0], TaskEnd::NotRun(Refusal::Room));
        entry.run_for(30, &[(1, 16_000), (2, 8_000)]);
    }
    assert_eq!(entry.answer(call), None);
    let starts = entry.starts();
    entry.report(&starts[0], TaskEnd::Done);
    assert_eq!(entry.answer(call), Some(Outcome::Completed));
}

#[test]
fn a_failed_task_runs_elsewhere_and_fails_its_job_after_its_attempts() {
    let mut entry = Entry::with_agents([16_000, 8_000]);
    let call = entry.submit(job(1, 200));
    let first = entry.starts();
    assert_eq!(first[0].0, 1);
    entry.report(&first[0], TaskEnd::Failed);
    let second = entry.starts();
    assert_eq!((second[0].0, second[0].2.run), (2, 2), "never twice in a row at one agent");
    assert_eq!(entry.answer(call), None);
    entry.report(&second[0], TaskEnd::Failed);
    assert_eq!(entry.answer(call), Some(Outcome::Failed(Reason::AttemptsExhausted)));
}

#[test]
fn a_job_that_was_lost_too_often_may_have_run_but_has_not_failed() {
    let mut entry = Entry::with_agents([16_000, 8_000]);
    let call = entry.submit(job(1, 200));
    while entry.answer(call).is_none() {
        let starts = entry.starts();
        entry.report(&starts[0], TaskEnd::Lost);
        entry.run_for(10, &[(1, 16_000), (2, 8_000)]);
    }
    assert_eq!(entry.answer(call), Some(Outcome::MayHaveRun(Reason::TooManyLosses)));
}

#[test]
fn a_client_that_leaves_has_its_tasks_stopped() {
    let mut entry = Entry::with_agents([16_000]);
    let call = entry.submit(job(3, 200));
    entry.starts();
    entry.handle(Event::Abandon(call));
    assert_eq!(entry.stops().len(), 3);
    assert_eq!(entry.dispatcher.active_jobs(), 0);
    assert_eq!(entry.answer(call), None, "nobody waits");
}

#[test]
fn a_job_that_comes_again_waits_for_the_end_of_its_first_try() {
    let mut entry = Entry::with_agents([16_000]);
    let first = entry.submit(job(1, 200));
    let starts = entry.starts();
    entry.handle(Event::Abandon(first));
    let second = entry.submit(job(1, 200));
    entry.run_for(50, &[(1, 16_000)]);
    assert!(entry.starts().is_empty(), "the first try may still run");
    entry.report(&starts[0], TaskEnd::Stopped);
    entry.run_for(20, &[(1, 16_000)]);
    let starts = entry.starts();
    assert_eq!(starts.len(), 1);
    entry.report(&starts[0], TaskEnd::Done);
    assert_eq!(entry.answer(second), Some(Outcome::Completed));
}

#[test]
fn a_job_that_comes_again_while_it_runs_gets_the_one_answer() {
    let mut entry = Entry::with_agents([16_000]);
    let first = entry.submit(job(1, 200));
    let starts = entry.starts();
    let second = entry.submit(job(1, 200));
    assert!(entry.starts().is_empty());
    entry.report(&starts[0], TaskEnd::Done);
    assert_eq!(entry.answer(first), Some(Outcome::Completed));
    assert_eq!(entry.answer(second), Some(Outcome::Completed));
}

#[test]
fn a_cancel_stops_what_runs_and_answers_the_one_who_waits() {
    let mut entry = Entry::with_agents([16_000, 8_000]);
    let call = entry.submit(job(6, 200));
    let starts = entry.starts().len();
    assert_eq!(starts, 6);
    entry.handle(Event::Cancel(JobId::new("5c0e7a21d94b36f8")));
    assert!(entry.told.is_empty(), "nobody else has it");
    assert_eq!(entry.stops().len(), starts);
    assert_eq!(entry.answer(call), Some(Outcome::Cancelled));
}

/// The client's connection to the entry that has the job is gone, and its cancel reaches another one. No
/// agent need have sessions with both.
#[test]
fn a_cancel_of_another_entrys_job_tells_every_agent_and_every_entry() {
    let mut entry = Entry::with_agents([16_000, 8_000]);
    let id = JobId::new("5c0e7a21d94b36f8");
    entry.handle(Event::Cancel(id.clone()));
    let told = entry.sent.iter().filter(|(_, message)| matches!(message, ToAgent::Cancel(_)));
    assert_eq!(told.count(), 2);
    assert_eq!(entry.told, [id]);
}

/// The job may be slower on its way than its cancel.
#[test]
fn a_job_that_comes_after_its_cancel_is_cancelled_and_starts_nothing() {
    let id = || JobId::new("5c0e7a21d94b36f8");
    for cancel in [Event::Cancel(id()), Event::CancelledElsewhere(id())] {
        let mut entry = Entry::with_agents([16_000]);
        entry.handle(cancel);
        let call = entry.submit(job(1, 200));
        assert_eq!(entry.answer(call), Some(Outcome::Cancelled));
        assert!(entry.starts().is_empty());
    }
}

/// The entry was down while the others were told. An agent that was told refuses each start; without this
/// end the entry sent starts on and on, one each 2 ms for as long as the client waits.
#[test]
fn a_start_that_is_refused_as_cancelled_ends_its_job() {
    let mut entry = Entry::with_agents([16_000, 8_000]);
    let call = entry.submit(job(4, 200));
    let starts = entry.starts();
    entry.report(&starts[0], TaskEnd::NotRun(Refusal::Cancelled));
    assert_eq!(entry.answer(call), Some(Outcome::Cancelled));
    let stops = entry.stops().len();
    assert_eq!(stops, 3, "those that may run");
    entry.run_for(50, &[(1, 16_000), (2, 8_000)]);
    assert!(entry.starts().is_empty());
}

/// The second try waits for the end of the first; it must not begin after the job was cancelled.
#[test]
fn a_cancel_ends_a_second_try_that_waits_for_the_first() {
    let mut entry = Entry::with_agents([16_000]);
    let first = entry.submit(job(1, 200));
    let starts = entry.starts();
    entry.handle(Event::Abandon(first));
    let second = entry.submit(job(1, 200));
    entry.handle(Event::Cancel(JobId::new("5c0e7a21d94b36f8")));
    assert_eq!(entry.answer(second), Some(Outcome::Cancelled));
    entry.report(&starts[0], TaskEnd::Stopped);
    entry.run_for(50, &[(1, 16_000)]);
    assert!(entry.starts().is_empty());
}

/// An entry has only some of the agents. With those that have work it keeps three heartbeats within the
/// 450 ms after which they would stop it; of the others it says little.
#[test]
fn an_agent_with_nothing_to_do_is_shown_seldom_that_the_entry_lives() {
    let mut entry = Entry::with_agents([16_000, 8_000]);
    entry.submit(job(1, 2_000));
    entry.sent.clear();
    entry.run_for(1_050, &[(1, 16_000), (2, 8_000)]);
    let heartbeats = |agent: u64| {
        let to_agent = |(id, message): &&(SessionId, ToAgent)| {
            id.0 == agent && matches!(message, ToAgent::Heartbeat { .. })
        };
        entry.sent.iter().filter(to_agent).count()
    };
    assert_eq!((heartbeats(1), heartbeats(2)), (10, 4));
}

#[test]
fn a_job_cancelled_at_another_entry_ends_here() {
    let mut entry = Entry::with_agents([16_000]);
    let call = entry.submit(job(1, 200));
    let cancelled = ToEntry::Cancelled(JobId::new("5c0e7a21d94b36f8"));
    entry.handle(Event::FromAgent(SessionId(1), cancelled));
    assert_eq!(entry.answer(call), Some(Outcome::Cancelled));
}

#[test]
fn a_short_job_ends_at_once_with_its_agent() {
    let mut entry = Entry::with_agents([16_000, 8_000]);
    let call = entry.submit(job(2, 200));
    entry.starts();
    entry.handle(Event::AgentClosed(SessionId(1)));
    assert_eq!(entry.answer(call), Some(Outcome::MayHaveRun(Reason::AgentLost)));
}

#[test]
fn a_long_job_waits_for_the_lease_of_a_lost_agent_and_runs_elsewhere() {
    let mut entry = Entry::with_agents([16_000, 3_500]);
    let call = entry.submit(job(1, 900));
    assert_eq!(entry.starts()[0].0, 1);
    entry.handle(Event::AgentClosed(SessionId(1)));
    entry.run_for(1_200, &[(2, 16_000)]);
    assert!(entry.starts().is_empty(), "it may still run");
    entry.run_for(100, &[(2, 16_000)]);
    let starts = entry.starts();
    assert_eq!((starts.len(), starts[0].0), (1, 2));
    entry.report(&starts[0], TaskEnd::Done);
    assert_eq!(entry.answer(call), Some(Outcome::Completed));
}

#[test]
fn a_silent_agent_gets_no_new_work_and_then_is_given_up() {
    let mut entry = Entry::with_agents([16_000, 4_000]);
    entry.run_for(400, &[(2, 4_000)]);
    entry.submit(job(1, 200));
    assert_eq!(entry.starts()[0].0, 2, "though the silent one had more room");
    entry.run_for(400, &[(2, 4_000)]);
    assert_eq!(entry.closed, [SessionId(1)]);
}

#[test]
fn a_pause_ends_everything_and_what_lay_unread_is_refused() {
    let mut entry = Entry::with_agents([16_000]);
    let call = entry.submit(job(1, 200));
    entry.now = entry.now + Duration::from_secs(2);
    entry.handle(Event::Tick);
    assert_eq!(entry.answer(call), Some(Outcome::MayHaveRun(Reason::Paused)));
    assert_eq!(entry.closed, [SessionId(1)]);
    let mut unread = job(1, 200);
    unread.id = JobId::new("00000000000000b1");
    let call = entry.submit(unread);
    let refused = entry.answer(call);
    assert!(matches!(refused, Some(Outcome::NotRun { reason: Reason::Paused, .. })), "{refused:?}");
}

#[test]
fn an_urgent_job_goes_first_and_a_begun_one_before_it() {
    let mut entry = Entry::with_agents([1_700]);
    let mut begun = job(2, 900);
    begun.priority = 2;
    entry.submit(begun);
    let first = entry.starts();
    assert_eq!(first.len(), 1);
    let mut urgent = job(1, 900);
    urgent.id = JobId::new("00000000000000b1");
    entry.submit(urgent);
    let mut later = job(1, 900);
    later.id = JobId::new("00000000000000b2");
    later.priority = 1;
    entry.submit(later);
    let mut order = Vec::new();
    for _ in 0..3 {
        entry.run_for(10, &[(1, 1_700)]);
        order.extend(entry.starts().into_iter().map(|(_, job, _)| job.to_string()));
    }
    assert_eq!(order, ["5c0e7a21d94b36f8", "00000000000000b1", "00000000000000b2"]);
}

#[test]
fn a_far_slower_target_is_left_aside_while_others_have_room() {
    let mut entry = Entry::new();
    for id in 1..=3 {
        entry.agent(id, 6_000, &[]);
    }
    let load = Load { slowdown_percent: 600, ..entry.load_of(16_000) };
    entry.handle(Event::FromAgent(SessionId(2), ToEntry::Load(load)));
    entry.submit(job(4, 200));
    assert!(entry.starts().iter().all(|(agent, ..)| *agent != 2));
}

#[test]
fn a_task_that_has_failed_is_not_given_to_a_target_on_trial() {
    let mut entry = Entry::with_agents([16_000, 8_000, 4_000]);
    let load = Load { on_trial: true, ..entry.load_of(8_000) };
    entry.handle(Event::FromAgent(SessionId(2), ToEntry::Load(load)));
    entry.submit(job(1, 200));
    let first = entry.starts();
    assert_eq!(first[0].0, 1);
    entry.report(&first[0], TaskEnd::Failed);
    assert_eq!(entry.starts()[0].0, 3, "though the second has more room");
}

#[test]
fn a_second_try_whose_client_leaves_does_not_begin() {
    let mut entry = Entry::with_agents([16_000]);
    let first = entry.submit(job(1, 200));
    let starts = entry.starts();
    entry.handle(Event::Abandon(first));
    let second = entry.submit(job(1, 200));
    entry.handle(Event::Abandon(second));
    entry.report(&starts[0], TaskEnd::Stopped);
    entry.run_for(50, &[(1, 16_000)]);
    assert!(entry.starts().is_empty(), "nobody waits for it");
}

#[test]
fn each_of_several_tries_that_wait_is_answered() {
    let mut entry = Entry::with_agents([16_000]);
    let first = entry.submit(job(1, 200));
    let starts = entry.starts();
    entry.handle(Event::Abandon(first));
    let second = entry.submit(job(1, 200));
    let third = entry.submit(job(1, 200));
    assert!(matches!(entry.answer(second), Some(Outcome::MayHaveRun(_))));
    entry.report(&starts[0], TaskEnd::Stopped);
    entry.run_for(20, &[(1, 16_000)]);
    let starts = entry.starts();
    entry.report(&starts[0], TaskEnd::Done);
    assert_eq!(entry.answer(third), Some(Outcome::Completed));
}

/// Callers would see tasks not run, or run again. An agent's greeting is held up by a cut; the agent is
/// killed; its next life connects and greets; then the first greeting arrives, on the connection that
/// nobody has closed yet. The entry gave up the session of the life that is there.
#[test]
fn a_greeting_that_was_held_up_does_not_end_the_session_of_the_next_life() {
    let mut entry = Entry::new();
    entry.handle(Event::AgentOpened(SessionId(1)));
    entry.agent(2, 16_000, &[]);
    entry.submit(job(1, 100));
    let starts = entry.starts();
    assert_eq!(starts[0].0, 2);
    let profile = AgentProfile {
        node: NodeName::new("a2"),
        service: Arc::from("work"),
        hall: Arc::from("hall"),
        labels: Vec::new(),
        capacity: Resources { cpu_milli: 16_000, memory_mb: 32_768, gpu: 0 },
    };
    let hello = ToEntry::Hello { profile, document: 0, halls: EmptiedHalls::default() };
    entry.handle(Event::FromAgent(SessionId(1), hello));
    assert_eq!(entry.closed, [SessionId(1)], "the older session");
    assert!(entry.stops().is_empty());
    entry.report(&starts[0], TaskEnd::Done);
    assert!(entry.answers.iter().any(|(_, outcome)| *outcome == Outcome::Completed));
}

/// A burst on full targets: a wide urgent job finds its room task by task behind less urgent ones, and ends
/// late. A less urgent job waits, at first, for more room than it needs itself; without urgent jobs lately
/// nothing is kept, and never more than a small part of all room.
#[test]
fn less_urgent_jobs_leave_room_for_the_usual_urgent_one() {
    let less_urgent = |id: &str| {
        let mut request = job(1, 200);
        request.id = JobId::new(id);
        request.priority = 1;
        request
    };
    let mut entry = Entry::new();
    for agent in 1..=4 {
        entry.agent(agent, 2_000, &[]);
    }
    entry.submit(job(2, 60));
    assert_eq!(entry.starts().len(), 2);
    let loads = |cpu| [(1, cpu), (2, cpu), (3, cpu), (4, cpu)];
    entry.run_for(20, &loads(1_200));
    entry.submit(less_urgent("00000000000000c1"));
    entry.run_for(20, &[(1, 1_700), (2, 1_200), (3, 1_200), (4, 1_200)]);
    assert!(entry.starts().is_empty(), "it would leave 3.7 cores, and 4.48 are kept");
    entry.run_for(10, &[(1, 1_700), (2, 1_700), (3, 1_700), (4, 1_200)]);
    assert_eq!(entry.starts().len(), 1, "it leaves 4.7");

    entry.run_for(2_000, &loads(2_000));
    entry.submit(less_urgent("00000000000000c2"));
    entry.run_for(10, &[(1, 1_700), (2, 0), (3, 0), (4, 0)]);
    assert_eq!(entry.starts().len(), 1, "no urgent job for two seconds");
}
