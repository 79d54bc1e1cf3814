//! An agent's decisions, one at a time.

use std::sync::Arc;
use std::time::Duration;

use model::{JobId, NodeName, Resources, TaskId, Time};
use runner::{
    Action, EndReason, Event, HoldOrder, HoldReply, RunKey, Runner, SessionId, StartOrder,
    StartRefusal, StartReply, StopOrder, StopReply, TargetEnd, TargetId, TargetReport, TargetRun,
    Timing,
};
use wire::{Refusal, StartTask, TaskEnd, TaskReport, ToAgent, ToEntry};

const START: Time = Time::from_millis(1_000_000);
const SESSION: SessionId = SessionId(1);

/// An agent whose target and entry say what the test tells them to.
struct Agent {
    runner: Runner,
    now: Time,
    starts: Vec<StartOrder>,
    stops: Vec<StopOrder>,
    holds: Vec<HoldOrder>,
    reports: Vec<TaskReport>,
    closed: Vec<SessionId>,
    open: bool,
    /// How often the load was told without an end.
    loads: u32,
    sequence: u64,
}

impl Agent {
    /// An agent that has just found its target and listed nothing there.
    fn new() -> Self {
        let mut agent = Self::at_target("t1", 5_000);
        agent.hold(&[], &[]);
        agent.handle(Event::SessionOpened(SESSION));
        agent
    }

    fn at_target(id: &str, clock_ms: u64) -> Self {
        let mut agent = Self {
            runner: Runner::new(NodeName::new("a1"), Timing::default(), START),
            now: START,
            starts: Vec::new(),
            stops: Vec::new(),
            holds: Vec::new(),
            reports: Vec::new(),
            closed: Vec::new(),
            open: false,
            loads: 0,
            sequence: 0,
        };
        agent.handle(Event::Target(report(id, clock_ms)));
        agent
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.runner.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Start(order) => self.starts.push(order),
                Action::Stop(order) => self.stops.push(order),
                Action::Hold(order) => self.holds.push(order),
                Action::Close(id) => self.closed.push(id),
                Action::Send(_, ToEntry::Ended { reports, load }) => {
                    self.reports.extend(reports);
                    self.open = load.open;
                }
                Action::Send(_, ToEntry::Load(load)) => {
                    self.open = load.open;
                    self.loads += 1;
                }
                Action::Send(..) | Action::News(_) => {}
            }
        }
    }

    /// Lets time pass; the entry shows that it lives.
    fn run_for(&mut self, millis: u64) {
        for _ in 0..millis / 10 {
            self.now = self.now + Duration::from_millis(10);
            self.beat();
            self.handle(Event::Tick);
        }
    }

    fn beat(&mut self) {
        let heard = self.now;
        self.handle(Event::FromEntry(SESSION, ToAgent::Beat { heard }));
    }

    fn ask(&mut self, job: &str, count: u32, priority: u8) {
        let heard = self.now;
        let tasks = (0..count).map(|index| self.task(index, priority)).collect();
        let job = JobId::new(job);
        let start = ToAgent::Start { heard, job, spec: Arc::from("spec"), tasks };
        self.handle(Event::FromEntry(SESSION, start));
    }

    fn task(&mut self, index: u32, priority: u8) -> StartTask {
        self.sequence += 1;
        StartTask {
            sequence: self.sequence,
            index,
            run: 1,
            resources: Resources { cpu_milli: 1_600, memory_mb: 64, gpu: 0 },
            estimated_ms: 100,
            patience_ms: 30,
            priority,
        }
    }

    /// The target takes every start that was ordered.
    fn take_starts(&mut self) -> Vec<StartOrder> {
        let starts = std::mem::take(&mut self.starts);
        for start in &starts {
            self.handle(Event::Started(start.key.clone(), StartReply::Taken { clock_ms: 0 }));
        }
        starts
    }

    /// The target answers the hold that is under way.
    fn hold(&mut self, running: &[&RunKey], ended: &[(u64, &RunKey, EndReason)]) {
        let order = self.holds.pop().expect("a hold is under way");
        let run = |key: &RunKey| TargetRun { task: key.task.clone(), run: key.run };
        let reply = HoldReply::Lists {
            clock_ms: 0,
            running: running.iter().map(|key| run(key)).collect(),
            ended: ended
                .iter()
                .map(|(number, key, reason)| TargetEnd {
                    number: *number,
                    run: Some(run(key)),
                    reason: *reason,
                })
                .collect(),
        };
        self.handle(Event::Held(order.target, reply));
    }

    fn ends(&self) -> Vec<TaskEnd> {
        self.reports.iter().map(|report| report.end).collect()
    }
}

fn report(id: &str, clock_ms: u64) -> TargetReport {
    TargetReport {
        id: TargetId(Arc::from(id)),
        service: Arc::from("work"),
        hall: Arc::from("hall"),
        labels: Vec::new(),
        capacity: Resources { cpu_milli: 8_000, memory_mb: 32_768, gpu: 0 },
        draining: false,
        remaining: None,
        clock_ms,
    }
}

fn key(job: &str, run: u64) -> RunKey {
    let task = TaskId { job: JobId::new(job), index: 0 };
    RunKey { target: TargetId(Arc::from("t1")), task, run }
}

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
    agent.handle(Event::Held(order.target, HoldReply::Fence { clock_ms: 9_000 }));
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
        agent.handle(Event::Stopped(start.key.clone(), StopReply::Done));
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
fn a_stop_that_is_not_answered_is_sent_again_and_the_lease_not_renewed() {
    let mut agent = Agent::new();
    agent.ask("a", 2, 0);
    let starts = agent.take_starts();
    let task = starts[0].key.task.clone();
    agent.handle(Event::FromEntry(SESSION, ToAgent::Stop(vec![task])));
    agent.handle(Event::Stopped(starts[0].key.clone(), StopReply::Silent));
    agent.run_for(110);
    assert!(agent.stops.len() >= 2);
    agent.holds.truncate(1);
    agent.hold(&[&starts[0].key, &starts[1].key], &[]);
    assert_eq!(agent.holds[0].deadline_ms, None, "only the end of the lease surely stops it");
    agent.handle(Event::Stopped(starts[0].key.clone(), StopReply::Done));
    agent.hold(&[&starts[1].key], &[(1, &starts[0].key, EndReason::Stopped)]);
    assert!(agent.holds[0].deadline_ms.is_some());
    assert_eq!(agent.ends(), [TaskEnd::Stopped]);
}

#[test]
fn a_start_without_an_answer_is_sent_again_under_the_same_number() {
    let mut agent = Agent::new();
    agent.ask("a", 1, 0);
    let first = agent.starts.pop().expect("it is started");
    agent.handle(Event::Started(first.key.clone(), StartReply::Silent));
    let again = agent.starts.pop().expect("it is started again");
    assert_eq!(again.key, first.key);
    assert!(agent.stops.is_empty());
    agent.handle(Event::Started(again.key.clone(), StartReply::Taken { clock_ms: 0 }));
    agent.hold(&[], &[(1, &first.key, EndReason::Done)]);
    assert_eq!(agent.ends(), [TaskEnd::Done]);
}

#[test]
fn a_refusal_proves_nothing_while_an_earlier_start_is_unanswered() {
    let refused = |reason| StartReply::Refused { clock_ms: 0, reason };
    let refusals = [
        refused(StartRefusal::Room),
        refused(StartRefusal::Old),
        StartReply::Unhealthy,
        StartReply::Invalid,
    ];
    for refusal in refusals {
        let mut agent = Agent::new();
        agent.ask("a", 1, 0);
        let start = agent.starts.pop().expect("it is started");
        agent.handle(Event::Started(start.key.clone(), StartReply::Silent));
        agent.handle(Event::Started(start.key.clone(), refusal));
        assert!(agent.reports.is_empty(), "the first start may be carried out yet");
        assert_eq!(agent.stops[0].key, start.key);
        agent.handle(Event::Stopped(start.key.clone(), StopReply::Done));
        agent.hold(&[], &[(1, &start.key, EndReason::Done)]);
        assert_eq!(agent.ends(), [TaskEnd::Done], "it had been");
    }
}

#[test]
fn a_start_that_is_never_answered_is_stopped_and_then_proven_gone() {
    let mut agent = Agent::new();
    agent.ask("a", 1, 0);
    let start = agent.starts.pop().expect("it is started");
    for _ in 0..3 {
        agent.handle(Event::Started(start.key.clone(), StartReply::Silent));
    }
    assert_eq!(agent.stops[0].key, start.key, "a stop of the same run");
    assert!(agent.reports.is_empty(), "nothing is known yet");
    agent.handle(Event::Stopped(start.key.clone(), StopReply::Done));
    agent.run_for(200);
    assert_eq!(agent.ends(), [TaskEnd::Lost]);
}

#[test]
fn a_start_whose_answer_was_lost_counts_as_it_ended() {
    let mut agent = Agent::new();
    agent.ask("a", 1, 0);
    let start = agent.starts.pop().expect("it is started");
    for _ in 0..3 {
        agent.handle(Event::Started(start.key.clone(), StartReply::Silent));
    }
    agent.handle(Event::Stopped(start.key.clone(), StopReply::Done));
    agent.hold(&[], &[(1, &start.key, EndReason::Done)]);
    assert_eq!(agent.ends(), [TaskEnd::Done]);
}

#[test]
fn a_run_that_was_there_before_gets_a_higher_number() {
    let mut agent = Agent::new();
    agent.ask("a", 1, 0);
    let first = agent.starts.pop().expect("it is started");
    let refused = |reason| StartReply::Refused { clock_ms: 0, reason };
    agent.handle(Event::Started(first.key.clone(), refused(StartRefusal::Old)));
    let second = agent.starts.pop().expect("it is started again");
    assert!(second.key.run > first.key.run);
    agent.handle(Event::Started(second.key, refused(StartRefusal::Room)));
    assert_eq!(agent.ends(), [TaskEnd::NotRun(Refusal::Room)]);
}

#[test]
fn a_target_that_leaves_gets_nothing_new() {
    let mut agent = Agent::new();
    agent.ask("a", 6, 0);
    assert_eq!(agent.take_starts().len(), 5);
    agent.handle(Event::Target(TargetReport { draining: true, ..report("t1", 5_100) }));
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
    agent.handle(Event::Target(report("t2", 40)));
    agent.run_for(20);
    assert_eq!(agent.ends(), [TaskEnd::Lost, TaskEnd::Lost]);
    // A report of the first life that was held up changes nothing.
    agent.holds.remove(0);
    agent.handle(Event::Target(report("t1", 5_200)));
    agent.hold(&[], &[]);
    assert_eq!(&*agent.holds[0].target.0, "t2");
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
fn an_agent_that_stood_still_gives_up_its_sessions() {
    let mut agent = Agent::new();
    agent.ask("a", 1, 0);
    agent.take_starts();
    agent.now = agent.now + Duration::from_secs(2);
    agent.ask("b", 1, 0);
    assert_eq!(agent.closed, [SESSION]);
    assert!(agent.starts.is_empty(), "what lay unread does not start");
}

#[test]
fn a_start_that_was_held_up_is_refused() {
    let mut agent = Agent::new();
    agent.run_for(500);
    let heard = START;
    let tasks = vec![agent.task(0, 0)];
    let (job, spec) = (JobId::new("a"), Arc::from("spec"));
    agent.handle(Event::FromEntry(SESSION, ToAgent::Start { heard, job, spec, tasks }));
    agent.run_for(20);
    assert_eq!(agent.ends(), [TaskEnd::NotRun(Refusal::Late)]);
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
fn one_overdue_task_runs_on_and_two_are_taken_for_stuck() {
    let mut agent = Agent::new();
    agent.ask("a", 1, 0);
    agent.take_starts();
    let keep_heard = |agent: &mut Agent| {
        for number in 0..5 {
            agent.run_for(100);
            agent.holds.truncate(1);
            // Something else ends there all the while.
            agent.hold(&[], &[(number + 1, &key("other", 1), EndReason::Done)]);
        }
    };
    agent.ask("b", 1, 0);
    let busy = agent.take_starts();
    agent.run_for(100);
    agent.holds.truncate(1);
    agent.hold(&[], &[(1, &busy[0].key, EndReason::Done)]);
    agent.run_for(330);
    assert!(agent.stops.is_empty(), "one alone is let run");
    keep_heard(&mut agent);
    agent.ask("c", 2, 0);
    let stuck = agent.take_starts();
    for _ in 0..5 {
        agent.run_for(90);
        agent.holds.truncate(1);
        agent.hold(&[&stuck[0].key, &stuck[1].key], &[]);
    }
    assert!(!agent.stops.is_empty(), "several overdue, and nothing ends");
}

#[test]
fn runs_are_not_taken_for_stuck_while_the_target_leaves_a_hold_unanswered() {
    let mut agent = Agent::new();
    agent.ask("a", 2, 0);
    let starts = agent.take_starts();
    agent.run_for(500);
    assert!(agent.stops.is_empty(), "they may have ended long ago");
    agent.holds.truncate(1);
    agent.hold(&[], &[(1, &starts[0].key, EndReason::Done), (2, &starts[1].key, EndReason::Done)]);
    assert_eq!(agent.ends(), [TaskEnd::Done, TaskEnd::Done]);
    assert!(agent.open, "nothing speaks against the target");
}

#[test]
fn a_run_that_was_never_answered_is_known_to_be_gone_a_tenth_of_a_second_after_its_stop() {
    let mut agent = Agent::new();
    agent.ask("a", 1, 0);
    let start = agent.starts.pop().expect("it is started");
    for _ in 0..3 {
        agent.run_for(agent.runner.timing().order_time.as_millis() as u64);
        agent.handle(Event::Started(start.key.clone(), StartReply::Silent));
    }
    agent.handle(Event::Stopped(start.key.clone(), StopReply::Done));
    agent.run_for(100);
    assert_eq!(agent.ends(), [TaskEnd::Lost]);
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
fn a_late_end_of_a_lost_run_is_not_taken_for_that_of_the_next() {
    let mut agent = Agent::new();
    agent.ask("a", 1, 0);
    let first = agent.take_starts();
    // Nothing is heard of the target until its lease has run out.
    agent.run_for(2_000);
    assert_eq!(agent.ends(), [TaskEnd::Lost]);
    agent.holds.truncate(1);
    agent.hold(&[], &[]);
    agent.ask("a", 1, 0);
    let second = agent.starts.pop().expect("it is started");
    assert!(second.key.run > first[0].key.run, "told apart");
    agent.hold(&[], &[(1, &first[0].key, EndReason::Done)]);
    assert_eq!(agent.ends(), [TaskEnd::Lost], "the second run has not ended");
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
