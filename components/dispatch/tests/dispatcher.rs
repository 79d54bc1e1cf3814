//! Decisions of an entry, one scenario at a time.

mod support;

use std::sync::Arc;
use std::time::Duration;

use dispatch::{Event, Outcome, Reason, SessionId};
use model::{JobId, NodeName, Resources};
use wire::{AgentProfile, EmptiedHalls, Load, Refusal, TaskEnd, ToAgent, ToEntry};

use support::{Entry, job};

#[test]
fn tasks_go_to_the_freest_agents_and_the_job_is_answered_once_all_are_done() {
    let mut entry = Entry::with_agents([16_000, 12_000]);
    let call = entry.submit(job(6, 200));
    let starts = entry.take_starts();
    assert_eq!(starts.len(), 6);
    let at = |id| starts.iter().filter(|(agent, ..)| *agent == id).count();
    assert_eq!((at(1), at(2)), (4, 2), "the agent with the most free CPU first");
    for (count, start) in starts.iter().enumerate() {
        assert_eq!(entry.answer(call), None, "after {count} of 6 tasks");
        entry.report_end(start, TaskEnd::Done);
    }
    assert_eq!(entry.answer(call), Some(Outcome::Completed));
}

#[test]
fn requirement_affinity_and_limit_per_target_are_respected() {
    let mut entry = Entry::new();
    entry.add_agent(1, 16_000, &["a", "r1"]);
    entry.add_agent(2, 8_000, &["b", "r2"]);
    entry.add_agent(3, 8_000, &["b", "r3"]);
    let mut request = job(1, 200);
    request.shape.requirement = Some(Arc::from("b"));
    request.shape.affinity = Some(Arc::from("r3"));
    entry.submit(request);
    assert_eq!(entry.take_starts()[0].0, 3);
    let mut request = job(5, 200);
    request.id = JobId::new("00000000000000b1");
    request.shape.max_per_target = Some(1);
    entry.submit(request);
    let mut agents: Vec<u64> = entry.take_starts().iter().map(|(agent, ..)| *agent).collect();
    agents.sort_unstable();
    assert_eq!(agents, [1, 2, 3], "one task at each agent, two tasks wait");
}

#[test]
fn a_refused_start_does_not_count_as_an_attempt() {
    let mut entry = Entry::with_agents([16_000, 8_000]);
    let call = entry.submit(job(1, 200));
    for _ in 0..3 {
        let starts = entry.take_starts();
        entry.report_end(&starts[0], TaskEnd::NotRun(Refusal::Room));
        entry.run_for(30, &[(1, 16_000), (2, 8_000)]);
    }
    assert_eq!(entry.answer(call), None);
    let starts = entry.take_starts();
    entry.report_end(&starts[0], TaskEnd::Done);
    assert_eq!(entry.answer(call), Some(Outcome::Completed));
}

#[test]
fn a_failed_task_runs_elsewhere_until_its_attempts_are_exhausted() {
    let mut entry = Entry::with_agents([16_000, 8_000]);
    let call = entry.submit(job(1, 200));
    let first = entry.take_starts();
    assert_eq!(first[0].0, 1);
    entry.report_end(&first[0], TaskEnd::Failed);
    let second = entry.take_starts();
    assert_eq!((second[0].0, second[0].2.run), (2, 2), "the second run is at the other agent");
    assert_eq!(entry.answer(call), None);
    entry.report_end(&second[0], TaskEnd::Failed);
    assert_eq!(entry.answer(call), Some(Outcome::Failed(Reason::AttemptsExhausted)));
}

#[test]
fn a_job_whose_task_is_lost_too_often_may_have_run() {
    let mut entry = Entry::with_agents([16_000, 8_000]);
    let call = entry.submit(job(1, 200));
    while entry.answer(call).is_none() {
        let starts = entry.take_starts();
        entry.report_end(&starts[0], TaskEnd::Lost);
        entry.run_for(10, &[(1, 16_000), (2, 8_000)]);
    }
    assert_eq!(entry.answer(call), Some(Outcome::MayHaveRun(Reason::TooManyLosses)));
}

#[test]
fn tasks_are_stopped_when_the_client_disconnects() {
    let mut entry = Entry::with_agents([16_000]);
    let call = entry.submit(job(3, 200));
    entry.take_starts();
    entry.handle(Event::ClientDisconnected(call));
    assert_eq!(entry.take_stops().len(), 3);
    assert_eq!(entry.dispatcher.active_jobs(), 0);
    assert_eq!(entry.answer(call), None, "no client waits");
}

#[test]
fn a_resubmitted_job_waits_until_its_first_run_has_ended() {
    let mut entry = Entry::with_agents([16_000]);
    let first = entry.submit(job(1, 200));
    let starts = entry.take_starts();
    entry.handle(Event::ClientDisconnected(first));
    let second = entry.submit(job(1, 200));
    entry.run_for(50, &[(1, 16_000)]);
    assert!(entry.take_starts().is_empty(), "the first run may not have ended");
    entry.report_end(&starts[0], TaskEnd::Stopped);
    entry.run_for(20, &[(1, 16_000)]);
    let starts = entry.take_starts();
    assert_eq!(starts.len(), 1);
    entry.report_end(&starts[0], TaskEnd::Done);
    assert_eq!(entry.answer(second), Some(Outcome::Completed));
}

#[test]
fn a_job_resubmitted_while_it_runs_shares_the_answer() {
    let mut entry = Entry::with_agents([16_000]);
    let first = entry.submit(job(1, 200));
    let starts = entry.take_starts();
    let second = entry.submit(job(1, 200));
    assert!(entry.take_starts().is_empty());
    entry.report_end(&starts[0], TaskEnd::Done);
    assert_eq!(entry.answer(first), Some(Outcome::Completed));
    assert_eq!(entry.answer(second), Some(Outcome::Completed));
}

#[test]
fn a_cancel_stops_running_tasks_and_answers_the_client() {
    let mut entry = Entry::with_agents([16_000, 8_000]);
    let call = entry.submit(job(6, 200));
    let starts = entry.take_starts().len();
    assert_eq!(starts, 6);
    entry.handle(Event::Cancel(JobId::new("5c0e7a21d94b36f8")));
    assert!(entry.cancel_notices.is_empty(), "the job is known here");
    assert_eq!(entry.take_stops().len(), starts);
    assert_eq!(entry.answer(call), Some(Outcome::Cancelled));
}

/// The job's entry may be unreachable for the client, and no agent may have sessions with both
/// entries.
#[test]
fn a_cancel_of_an_unknown_job_is_sent_to_every_agent_and_entry() {
    let mut entry = Entry::with_agents([16_000, 8_000]);
    let id = JobId::new("5c0e7a21d94b36f8");
    entry.handle(Event::Cancel(id.clone()));
    let cancels = entry.sent.iter().filter(|(_, message)| matches!(message, ToAgent::Cancel(_)));
    assert_eq!(cancels.count(), 2);
    assert_eq!(entry.cancel_notices, [id]);
}

/// A job may arrive later than its cancel.
#[test]
fn a_job_submitted_after_its_cancel_starts_no_task() {
    let id = || JobId::new("5c0e7a21d94b36f8");
    for cancel in [Event::Cancel(id()), Event::CancelledElsewhere(id())] {
        let mut entry = Entry::with_agents([16_000]);
        entry.handle(cancel);
        let call = entry.submit(job(1, 200));
        assert_eq!(entry.answer(call), Some(Outcome::Cancelled));
        assert!(entry.take_starts().is_empty());
    }
}

/// An entry that missed the cancel would otherwise send starts in a loop, as agents refuse them.
#[test]
fn a_start_refused_as_cancelled_cancels_the_job() {
    let mut entry = Entry::with_agents([16_000, 8_000]);
    let call = entry.submit(job(4, 200));
    let starts = entry.take_starts();
    entry.report_end(&starts[0], TaskEnd::NotRun(Refusal::Cancelled));
    assert_eq!(entry.answer(call), Some(Outcome::Cancelled));
    let stops = entry.take_stops().len();
    assert_eq!(stops, 3, "the tasks that may still run");
    entry.run_for(50, &[(1, 16_000), (2, 8_000)]);
    assert!(entry.take_starts().is_empty());
}

/// A resubmission that waits for its first run must not start after the job was cancelled.
#[test]
fn a_cancel_ends_a_waiting_resubmission() {
    let mut entry = Entry::with_agents([16_000]);
    let first = entry.submit(job(1, 200));
    let starts = entry.take_starts();
    entry.handle(Event::ClientDisconnected(first));
    let second = entry.submit(job(1, 200));
    entry.handle(Event::Cancel(JobId::new("5c0e7a21d94b36f8")));
    assert_eq!(entry.answer(second), Some(Outcome::Cancelled));
    entry.report_end(&starts[0], TaskEnd::Stopped);
    entry.run_for(50, &[(1, 16_000)]);
    assert!(entry.take_starts().is_empty());
}

/// Agents with tasks need several heartbeats within their session timeout. The others need few.
#[test]
fn idle_agents_get_fewer_heartbeats() {
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
fn a_cancel_passed_on_by_an_agent_ends_the_job() {
    let mut entry = Entry::with_agents([16_000]);
    let call = entry.submit(job(1, 200));
    let cancelled = ToEntry::Cancelled(JobId::new("5c0e7a21d94b36f8"));
    entry.handle(Event::FromAgent(SessionId(1), cancelled));
    assert_eq!(entry.answer(call), Some(Outcome::Cancelled));
}

#[test]
fn a_short_job_is_answered_as_soon_as_its_agent_is_lost() {
    let mut entry = Entry::with_agents([16_000, 8_000]);
    let call = entry.submit(job(2, 200));
    entry.take_starts();
    entry.handle(Event::AgentClosed(SessionId(1)));
    assert_eq!(entry.answer(call), Some(Outcome::MayHaveRun(Reason::AgentLost)));
}

#[test]
fn a_long_job_runs_elsewhere_after_the_lease_of_its_lost_agent() {
    let mut entry = Entry::with_agents([16_000, 3_500]);
    let call = entry.submit(job(1, 900));
    assert_eq!(entry.take_starts()[0].0, 1);
    entry.handle(Event::AgentClosed(SessionId(1)));
    entry.run_for(1_200, &[(2, 16_000)]);
    assert!(entry.take_starts().is_empty(), "the lost task may still run");
    entry.run_for(100, &[(2, 16_000)]);
    let starts = entry.take_starts();
    assert_eq!((starts.len(), starts[0].0), (1, 2));
    entry.report_end(&starts[0], TaskEnd::Done);
    assert_eq!(entry.answer(call), Some(Outcome::Completed));
}

#[test]
fn a_silent_agent_gets_no_new_work_and_is_then_removed() {
    let mut entry = Entry::with_agents([16_000, 4_000]);
    entry.run_for(400, &[(2, 4_000)]);
    entry.submit(job(1, 200));
    assert_eq!(entry.take_starts()[0].0, 2, "although the silent agent had more free CPU");
    entry.run_for(400, &[(2, 4_000)]);
    assert_eq!(entry.closed, [SessionId(1)]);
}

#[test]
fn a_pause_ends_all_jobs_and_stale_requests_are_refused() {
    let mut entry = Entry::with_agents([16_000]);
    let call = entry.submit(job(1, 200));
    entry.now = entry.now + Duration::from_secs(2);
    entry.handle(Event::Tick);
    assert_eq!(entry.answer(call), Some(Outcome::MayHaveRun(Reason::Paused)));
    assert_eq!(entry.closed, [SessionId(1)]);
    let mut stale = job(1, 200);
    stale.id = JobId::new("00000000000000b1");
    let call = entry.submit(stale);
    let refused = entry.answer(call);
    assert!(matches!(refused, Some(Outcome::NotRun { reason: Reason::Paused, .. })), "{refused:?}");
}

#[test]
fn started_jobs_are_placed_first_and_then_urgent_ones() {
    let mut entry = Entry::with_agents([1_700]);
    let mut started = job(2, 900);
    started.priority = 2;
    entry.submit(started);
    let first = entry.take_starts();
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
        order.extend(entry.take_starts().into_iter().map(|(_, job, _)| job.to_string()));
    }
    assert_eq!(order, ["5c0e7a21d94b36f8", "00000000000000b1", "00000000000000b2"]);
}

#[test]
fn a_much_slower_target_is_avoided_while_others_have_capacity() {
    let mut entry = Entry::new();
    for id in 1..=3 {
        entry.add_agent(id, 6_000, &[]);
    }
    let load = Load { slowdown_percent: 600, ..entry.load_with(16_000) };
    entry.handle(Event::FromAgent(SessionId(2), ToEntry::Load(load)));
    entry.submit(job(4, 200));
    assert!(entry.take_starts().iter().all(|(agent, ..)| *agent != 2));
}

#[test]
fn a_failed_task_is_not_placed_at_a_target_on_trial() {
    let mut entry = Entry::with_agents([16_000, 8_000, 4_000]);
    let load = Load { on_trial: true, ..entry.load_with(8_000) };
    entry.handle(Event::FromAgent(SessionId(2), ToEntry::Load(load)));
    entry.submit(job(1, 200));
    let first = entry.take_starts();
    assert_eq!(first[0].0, 1);
    entry.report_end(&first[0], TaskEnd::Failed);
    assert_eq!(entry.take_starts()[0].0, 3, "although agent 2 has more free CPU");
}

#[test]
fn a_resubmission_whose_client_disconnects_does_not_start() {
    let mut entry = Entry::with_agents([16_000]);
    let first = entry.submit(job(1, 200));
    let starts = entry.take_starts();
    entry.handle(Event::ClientDisconnected(first));
    let second = entry.submit(job(1, 200));
    entry.handle(Event::ClientDisconnected(second));
    entry.report_end(&starts[0], TaskEnd::Stopped);
    entry.run_for(50, &[(1, 16_000)]);
    assert!(entry.take_starts().is_empty(), "no client waits");
}

#[test]
fn every_waiting_resubmission_is_answered() {
    let mut entry = Entry::with_agents([16_000]);
    let first = entry.submit(job(1, 200));
    let starts = entry.take_starts();
    entry.handle(Event::ClientDisconnected(first));
    let second = entry.submit(job(1, 200));
    let third = entry.submit(job(1, 200));
    assert!(matches!(entry.answer(second), Some(Outcome::MayHaveRun(_))));
    entry.report_end(&starts[0], TaskEnd::Stopped);
    entry.run_for(20, &[(1, 16_000)]);
    let starts = entry.take_starts();
    entry.report_end(&starts[0], TaskEnd::Done);
    assert_eq!(entry.answer(third), Some(Outcome::Completed));
}

/// A hello delayed on an agent's old connection must not end the session of its restarted process:
/// tasks would not run or would run twice.
#[test]
fn a_delayed_hello_does_not_end_the_session_of_a_restarted_agent() {
    let mut entry = Entry::new();
    entry.handle(Event::AgentOpened(SessionId(1)));
    entry.add_agent(2, 16_000, &[]);
    entry.submit(job(1, 100));
    let starts = entry.take_starts();
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
    assert_eq!(entry.closed, [SessionId(1)], "the older session is closed");
    assert!(entry.take_stops().is_empty());
    entry.report_end(&starts[0], TaskEnd::Done);
    assert!(entry.answers.iter().any(|(_, outcome)| *outcome == Outcome::Completed));
}

/// At full targets, a wide urgent job would otherwise start task by task between less urgent ones
/// and end late. The reserve is bounded, and empty without recent urgent jobs.
#[test]
fn less_urgent_jobs_leave_capacity_for_a_typical_urgent_job() {
    let less_urgent = |id: &str| {
        let mut request = job(1, 200);
        request.id = JobId::new(id);
        request.priority = 1;
        request
    };
    let mut entry = Entry::new();
    for agent in 1..=4 {
        entry.add_agent(agent, 2_000, &[]);
    }
    entry.submit(job(2, 60));
    assert_eq!(entry.take_starts().len(), 2);
    let loads = |cpu| [(1, cpu), (2, cpu), (3, cpu), (4, cpu)];
    entry.run_for(20, &loads(1_200));
    entry.submit(less_urgent("00000000000000c1"));
    entry.run_for(20, &[(1, 1_700), (2, 1_200), (3, 1_200), (4, 1_200)]);
    assert!(entry.take_starts().is_empty(), "the job would leave 3.7 cores, and 4.48 are reserved");
    entry.run_for(10, &[(1, 1_700), (2, 1_700), (3, 1_700), (4, 1_200)]);
    assert_eq!(entry.take_starts().len(), 1, "the job leaves 4.7 cores");

    entry.run_for(2_000, &loads(2_000));
    entry.submit(less_urgent("00000000000000c2"));
    entry.run_for(10, &[(1, 1_700), (2, 0), (3, 0), (4, 0)]);
    assert_eq!(entry.take_starts().len(), 1, "the last urgent job was two seconds ago");
}
