//! An entry whose agents and clients do what a test tells them to.

// Each test file uses a part of it.
#![allow(dead_code)]

use std::sync::Arc;
use std::time::Duration;

use dispatch::{
    Action, CallId, Dispatcher, Event, JobRequest, LogEvent, Outcome, SessionId, TaskShape, Timing,
};
use model::{JobId, NodeName, Resources, TaskId, Time};
use wire::{AgentProfile, EmptiedHalls, Load, StartTask, TaskEnd, TaskReport, ToAgent, ToEntry};

pub const START: Time = Time::from_millis(1_000_000);

/// An entry with agents that say what the test tells them to.
pub struct Entry {
    pub dispatcher: Dispatcher,
    pub now: Time,
    pub answers: Vec<(CallId, Outcome)>,
    pub sent: Vec<(SessionId, ToAgent)>,
    pub closed: Vec<SessionId>,
    /// Jobs that other entries were told are cancelled.
    pub told: Vec<JobId>,
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
            told: Vec::new(),
            last_call: 0,
        }
    }

    /// One with an agent for each of these amounts of free processor, in thousandths of a core, numbered from 1.
    pub fn with_agents<const COUNT: usize>(cpu: [u64; COUNT]) -> Self {
        let mut entry = Self::new();
        (1..).zip(cpu).for_each(|(id, cpu)| entry.agent(id, cpu, &[]));
        entry
    }

    pub fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.dispatcher.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send(id, message) => self.sent.push((id, message)),
                Action::Close(id) => self.closed.push(id),
                Action::NotifyEntries(job) => self.told.push(job),
                Action::DocumentOffered(..) | Action::DocumentPart(..) => {}
                Action::Answer(call, outcome) => self.answers.push((call, outcome)),
                Action::Log(LogEvent::Breach(breach)) => panic!("{breach}"),
                Action::Log(_) => {}
            }
        }
    }

    /// Lets time pass; every agent named shows that it lives.
    pub fn run_for(&mut self, millis: u64, agents: &[(u64, u64)]) {
        for _ in 0..millis / 10 {
            self.now = self.now + Duration::from_millis(10);
            for (id, cpu) in agents {
                self.load(*id, *cpu);
            }
            self.handle(Event::Tick);
        }
    }

    pub fn agent(&mut self, id: u64, cpu: u64, labels: &[&str]) {
        let labels = labels.iter().copied().map(Arc::from).collect();
        self.agent_is(id, cpu, AgentProfile { labels, ..profile(id, "hall") });
    }

    pub fn agent_in(&mut self, id: u64, hall: &str, cpu: u64) {
        self.agent_is(id, cpu, profile(id, hall));
    }

    fn agent_is(&mut self, id: u64, cpu: u64, profile: AgentProfile) {
        let session = SessionId(id);
        self.handle(Event::AgentOpened(session));
        self.handle(Event::FromAgent(
            session,
            ToEntry::Hello { profile, document: 0, halls: EmptiedHalls::default() },
        ));
        self.load(id, cpu);
    }

    pub fn load(&mut self, id: u64, cpu_milli: u64) {
        let load = self.load_of(cpu_milli);
        self.handle(Event::FromAgent(SessionId(id), ToEntry::Load(load)));
    }

    pub fn load_of(&self, cpu_milli: u64) -> Load {
        Load {
            at: self.now,
            free: Resources { cpu_milli, memory_mb: 32_768, gpu: 0 },
            taken_per_ms: 0,
            seen: u64::MAX,
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

    /// The starts sent so far, taken out: agent and task.
    pub fn starts(&mut self) -> Vec<(u64, JobId, StartTask)> {
        let mut starts = Vec::new();
        for (id, message) in std::mem::take(&mut self.sent) {
            if let ToAgent::Start { job, tasks, .. } = message {
                starts.extend(tasks.into_iter().map(|task| (id.0, job.clone(), task)));
            }
        }
        starts
    }

    /// The tasks that agents were told to stop, taken out.
    pub fn stops(&mut self) -> Vec<(u64, TaskId)> {
        let mut stops = Vec::new();
        for (id, message) in std::mem::take(&mut self.sent) {
            if let ToAgent::Stop(tasks) = message {
                stops.extend(tasks.into_iter().map(|task| (id.0, task)));
            }
        }
        stops
    }

    pub fn report(&mut self, start: &(u64, JobId, StartTask), end: TaskEnd) {
        let (id, job, task) = start;
        let report = TaskReport {
            task: TaskId { job: job.clone(), index: task.index },
            sequence: task.sequence,
            end,
            ran_ms: 100,
        };
        let load = self.load_of(16_000);
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

/// A job of the service "work", whose tasks take 1.6 cores and 64 MB each.
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
