//! A dispatcher whose agents and clients are driven by a test.

// No test file uses all of it.
#![allow(dead_code)]

use std::sync::Arc;
use std::time::Duration;

use dispatch::{
    Action, CallId, Dispatcher, Event, JobRequest, LogEvent, Outcome, SessionId, TaskShape, Timing,
};
use model::{JobId, NodeName, Resources, TaskId, Time};
use wire::{AgentProfile, EmptiedHalls, Load, StartTask, TaskEnd, TaskReport, ToAgent, ToEntry};

pub const START: Time = Time::from_millis(1_000_000);

/// An entry's dispatcher and the actions that it returned.
pub struct Entry {
    pub dispatcher: Dispatcher,
    pub now: Time,
    pub answers: Vec<(CallId, Outcome)>,
    pub sent: Vec<(SessionId, ToAgent)>,
    pub closed: Vec<SessionId>,
    /// Cancelled jobs that the other entries were notified of.
    pub cancel_notices: Vec<JobId>,
    pub last_call: u64,
}

impl Entry {
    pub fn new() -> Self {
        Self {
            dispatcher: Dispatcher::new(Timing::default(), START),
            now: START,
            answers: Vec::new(),
            sent: Vec::new(),
            closed: Vec::new(),
            cancel_notices: Vec::new(),
            last_call: 0,
        }
    }

    /// Creates an entry with agents numbered from 1 that have these amounts of free CPU, in
    /// thousandths of a core.
    pub fn with_agents<const COUNT: usize>(cpu: [u64; COUNT]) -> Self {
        let mut entry = Self::new();
        (1..).zip(cpu).for_each(|(id, cpu)| entry.add_agent(id, cpu, &[]));
        entry
    }

    pub fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.dispatcher.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send(id, message) => self.sent.push((id, message)),
                Action::Close(id) => self.closed.push(id),
                Action::NotifyEntries(job) => self.cancel_notices.push(job),
                Action::DocumentOffered(..) | Action::DocumentPart(..) => {}
                Action::Answer(call, outcome) => self.answers.push((call, outcome)),
                Action::Log(LogEvent::Breach(breach)) => panic!("{breach}"),
                Action::Log(_) => {}
            }
        }
    }

    /// Advances time in steps of 10 ms. The given agents, with their free CPU, report a load in
    /// each step.
    pub fn run_for(&mut self, millis: u64, agents: &[(u64, u64)]) {
        for _ in 0..millis / 10 {
            self.now = self.now + Duration::from_millis(10);
            for (id, cpu) in agents {
                self.report_load(*id, *cpu);
            }
            self.handle(Event::Tick);
        }
    }

    pub fn add_agent(&mut self, id: u64, cpu: u64, labels: &[&str]) {
        let labels = labels.iter().copied().map(Arc::from).collect();
        self.connect_agent(id, cpu, AgentProfile { labels, ..profile(id, "hall") });
    }

    pub fn add_agent_in(&mut self, id: u64, hall: &str, cpu: u64) {
        self.connect_agent(id, cpu, profile(id, hall));
    }

    fn connect_agent(&mut self, id: u64, cpu: u64, profile: AgentProfile) {
        let session = SessionId(id);
        self.handle(Event::AgentOpened(session));
        self.handle(Event::FromAgent(
            session,
            ToEntry::Hello { profile, document: 0, halls: EmptiedHalls::default() },
        ));
        self.report_load(id, cpu);
    }

    pub fn report_load(&mut self, id: u64, cpu_milli: u64) {
        let load = self.load_with(cpu_milli);
        self.handle(Event::FromAgent(SessionId(id), ToEntry::Load(load)));
    }

    pub fn load_with(&self, cpu_milli: u64) -> Load {
        Load {
            at: self.now,
            free: Resources { cpu_milli, memory_mb: 32_768, gpu: 0 },
            taken_per_ms: 0,
            last_start_sequence: u64::MAX,
            open: true,
            on_trial: false,
            slowdown_percent: 100,
        }
    }

    pub fn submit(&mut self, request: JobRequest) -> CallId {
        self.last_call += 1;
        let call = CallId(self.last_call);
        self.handle(Event::Submit(call, request));
        call
    }

    /// Takes the starts sent so far, with the agent and job of each, and drops other messages.
    pub fn take_starts(&mut self) -> Vec<(u64, JobId, StartTask)> {
        let mut starts = Vec::new();
        for (id, message) in std::mem::take(&mut self.sent) {
            if let ToAgent::Start { job, tasks, .. } = message {
                starts.extend(tasks.into_iter().map(|task| (id.0, job.clone(), task)));
            }
        }
        starts
    }

    /// Takes the stops sent so far, with the agent of each, and drops other messages.
    pub fn take_stops(&mut self) -> Vec<(u64, TaskId)> {
        let mut stops = Vec::new();
        for (id, message) in std::mem::take(&mut self.sent) {
            if let ToAgent::Stop(tasks) = message {
                stops.extend(tasks.into_iter().map(|task| (id.0, task)));
            }
        }
        stops
    }

    pub fn report_end(&mut self, start: &(u64, JobId, StartTask), end: TaskEnd) {
        let (id, job, task) = start;
        let report = TaskReport {
            task: TaskId { job: job.clone(), index: task.index },
            sequence: task.sequence,
            end,
            ran_ms: 100,
        };
        let load = self.load_with(16_000);
        let message = ToEntry::Ended { reports: vec![report], load };
        self.handle(Event::FromAgent(SessionId(*id), message));
    }

    pub fn answer(&self, call: CallId) -> Option<Outcome> {
        self.answers.iter().find(|(to, _)| *to == call).map(|(_, outcome)| *outcome)
    }
}

fn profile(id: u64, hall: &str) -> AgentProfile {
    AgentProfile {
        node: NodeName::new(&format!("a{id}")),
        service: Arc::from("work"),
        hall: Arc::from(hall),
        labels: Vec::new(),
        capacity: Resources { cpu_milli: 16_000, memory_mb: 32_768, gpu: 0 },
    }
}

/// A job of the service "work" whose tasks need 1.6 cores and 64 MB each.
pub fn job(count: u32, estimated_ms: u32) -> JobRequest {
    let objective = Duration::from_millis(u64::from(estimated_ms) * 16 / 10 + 60);
    JobRequest {
        id: JobId::new("5c0e7a21d94b36f8"),
        queue: Arc::from("q"),
        service: Arc::from("work"),
        spec: Arc::from("spec"),
        shape: TaskShape {
            count,
            resources: Resources { cpu_milli: 1_600, memory_mb: 64, gpu: 0 },
            estimated_ms,
            requirement: None,
            affinity: None,
            max_per_target: None,
        },
        priority: 0,
        max_attempts: 2,
        objective,
        deadline: Duration::from_secs(5),
    }
}
