//! An agent whose target and entry are simulated by the test.

// Each test file uses only some of the helpers.
#![allow(dead_code)]

use std::sync::Arc;
use std::time::Duration;

use model::{JobId, NodeName, Resources, TaskId, Time};
use runner::{
    Action, EndReason, Event, HoldCommand, HoldReply, RunKey, Runner, SessionId, StartCommand,
    StartReply, StopCommand, TargetEnd, TargetInstance, TargetReport, TargetRun, Timing,
};
use wire::{EmptiedHalls, StartTask, SuspectedTask, TaskEnd, TaskReport, ToAgent, ToEntry};

pub const START: Time = Time::from_millis(1_000_000);
pub const SESSION: SessionId = SessionId(1);
/// The monotonic clock in numbered reports, in ms.
pub const CLOCK: u64 = 7_000;

/// An agent with the commands and messages that it has sent.
pub struct Agent {
    pub runner: Runner,
    pub now: Time,
    pub starts: Vec<StartCommand>,
    pub stops: Vec<StopCommand>,
    pub holds: Vec<HoldCommand>,
    pub reports: Vec<TaskReport>,
    pub closed: Vec<SessionId>,
    pub open: bool,
    /// The slowdown in the last load report.
    pub slowdown_percent: u32,
    /// Number of load reports without ended runs.
    pub loads: u32,
    pub sequence: u64,
    /// The lists of emptied halls that were sent to entries.
    pub halls_sent: Vec<(SessionId, EmptiedHalls)>,
    /// The reports of suspected crashes: session, job of the task, time of the crash.
    pub suspicions: Vec<(SessionId, String, Time)>,
    /// The reports of tasks that ran at a crash: session, job of the task.
    pub crashes: Vec<(SessionId, String)>,
}

impl Agent {
    /// An agent that has adopted its target, which runs nothing.
    pub fn new() -> Self {
        let mut agent = Self::at_target("t1", 5_000);
        agent.answer_outstanding_hold(&[], &[]);
        agent.handle(Event::SessionOpened(SESSION));
        agent
    }

    pub fn at_target(id: &str, clock_ms: u64) -> Self {
        let mut agent = Self::without_target();
        agent.handle(Event::TargetReported(report(id, clock_ms)));
        agent
    }

    /// An agent without a target.
    pub fn without_target() -> Self {
        Self {
            runner: Runner::new(NodeName::new("a1"), Timing::default(), START),
            now: START,
            starts: Vec::new(),
            stops: Vec::new(),
            holds: Vec::new(),
            reports: Vec::new(),
            closed: Vec::new(),
            open: false,
            slowdown_percent: 0,
            loads: 0,
            sequence: 0,
            halls_sent: Vec::new(),
            suspicions: Vec::new(),
            crashes: Vec::new(),
        }
    }

    pub fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.runner.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Start(command) => self.starts.push(command),
                Action::Stop(command) => self.stops.push(command),
                Action::Hold(command) => self.holds.push(command),
                Action::Close(id) => self.closed.push(id),
                Action::Send(_, ToEntry::Ended { reports, load }) => {
                    self.reports.extend(reports);
                    self.open = load.open;
                    self.slowdown_percent = load.slowdown_percent;
                }
                Action::Send(_, ToEntry::Load(load)) => {
                    self.open = load.open;
                    self.slowdown_percent = load.slowdown_percent;
                    self.loads += 1;
                }
                Action::Send(id, ToEntry::Halls(halls)) => self.halls_sent.push((id, halls)),
                Action::Send(id, ToEntry::CrashSuspected(tasks)) => {
                    let report = |SuspectedTask { task, noticed_at }: SuspectedTask| {
                        (id, task.job.as_str().to_owned(), noticed_at)
                    };
                    self.suspicions.extend(tasks.into_iter().map(report));
                }
                Action::Send(id, ToEntry::TargetCrashed(tasks)) => {
                    let jobs = tasks.iter().map(|task| task.job.as_str().to_owned());
                    self.crashes.extend(jobs.map(|job| (id, job)));
                }
                Action::Send(..) | Action::Log(_) => {}
            }
        }
    }

    /// Advances time, with heartbeats of the entry.
    pub fn run_for(&mut self, millis: u64) {
        for _ in 0..millis / 10 {
            self.now = self.now + Duration::from_millis(10);
            self.heartbeat();
            self.handle(Event::Tick);
        }
    }

    pub fn heartbeat(&mut self) {
        let agent_clock = self.now;
        self.handle(Event::FromEntry(SESSION, ToAgent::Heartbeat { agent_clock }));
    }

    pub fn request(&mut self, job: &str, count: u32, priority: u8) {
        let agent_clock = self.now;
        let tasks = (0..count).map(|index| self.task(index, priority)).collect();
        let job = JobId::new(job);
        let start = ToAgent::Start { agent_clock, job, spec: Arc::from("spec"), tasks };
        self.handle(Event::FromEntry(SESSION, start));
    }

    pub fn task(&mut self, index: u32, priority: u8) -> StartTask {
        self.sequence += 1;
        StartTask {
            sequence: self.sequence,
            index,
            run: 1,
            resources: Resources { cpu_milli: 1_600, memory_mb: 64, gpu: 0 },
            estimated_ms: 100,
            longest_wait_ms: 30,
            priority,
        }
    }

    /// Answers every pending start as accepted; returns the starts.
    pub fn take_starts(&mut self) -> Vec<StartCommand> {
        let starts = std::mem::take(&mut self.starts);
        for start in &starts {
            self.handle(Event::StartAnswered(
                start.key.clone(),
                StartReply::Accepted { clock_ms: 0 },
            ));
        }
        starts
    }

    /// Answers the outstanding hold.
    pub fn answer_outstanding_hold(
        &mut self,
        running: &[&RunKey],
        ended: &[(u64, &RunKey, EndReason)],
    ) {
        let command = self.holds.pop().expect("a hold is outstanding");
        let run = |key: &RunKey| TargetRun { task: key.task.clone(), run: key.run };
        let reply = HoldReply::Runs {
            started_ms: None,
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
        self.handle(Event::HoldAnswered(command.target, reply));
    }

    pub fn ends(&self) -> Vec<TaskEnd> {
        self.reports.iter().map(|report| report.end).collect()
    }
}

pub fn report(id: &str, clock_ms: u64) -> TargetReport {
    TargetReport {
        instance: TargetInstance::from_id(id),
        service: Arc::from("work"),
        hall: Arc::from("hall"),
        labels: Vec::new(),
        capacity: Resources { cpu_milli: 8_000, memory_mb: 32_768, gpu: 0 },
        draining: false,
        remaining: None,
        clock_ms,
        sequence: 0,
    }
}

pub fn key(job: &str, run: u64) -> RunKey {
    let task = TaskId { job: JobId::new(job), index: 0 };
    RunKey { target: TargetInstance::from_id("t1"), task, run }
}

/// A target instance.
pub fn target(id: &str) -> TargetInstance {
    TargetInstance::from_id(id)
}

/// The report of an instance with this sequence number.
pub fn numbered_report(id: &str, sequence: u64) -> TargetReport {
    TargetReport { sequence, ..report(id, CLOCK) }
}

/// The draining report of an instance with this sequence number.
pub fn draining_report(id: &str, sequence: u64) -> TargetReport {
    TargetReport { draining: true, ..numbered_report(id, sequence) }
}

/// The answer to a hold without active or ended runs.
pub fn no_runs() -> HoldReply {
    HoldReply::Runs { started_ms: None, clock_ms: CLOCK, running: Vec::new(), ended: Vec::new() }
}

/// Answers the outstanding hold of an instance; returns whether there was one.
pub fn answer(agent: &mut Agent, id: &str, reply: HoldReply) -> bool {
    let Some(at) = agent.holds.iter().position(|hold| *hold.target.id == *id) else { return false };
    agent.holds.remove(at);
    agent.handle(Event::HoldAnswered(target(id), reply));
    true
}

/// Requests a task and accepts its start; returns the instances to which the start was sent.
pub fn start_task(agent: &mut Agent, job: &str) -> Vec<TargetInstance> {
    agent.request(job, 1, 0);
    agent.take_starts().into_iter().map(|start| start.key.target).collect()
}
