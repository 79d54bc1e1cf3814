//! CPU time of placement by capacity, by the number of targets.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use dispatch::{
    Action, CallId, Dispatcher, Event, JobRequest, LogEvent, SessionId, TaskShape, Timing,
};
use model::{JobId, NodeName, Resources, TaskId, Time};
use wire::{AgentProfile, EmptiedHalls, Load, TaskEnd, TaskReport, ToAgent, ToEntry};

use super::table::{measure_seconds, print_header};

const START: Time = Time::from_millis(1_764_000_000_000);
const TARGET_CPU: u64 = 16_000;
const TASK_CPU: u64 = 1_600;
const TASKS_PER_JOB: u32 = 2;
/// Jobs whose placement is measured, for each size.
const JOBS: u32 = 20_000;
/// Share of the targets' capacity that running tasks take.
const UTILIZATION: f64 = 0.6;
/// Slowdowns of targets, in percent, assigned in turn.
const EQUAL: &[u32] = &[100];
const UNEQUAL: &[u32] = &[55, 120, 120, 120];

/// A task that runs at an agent.
struct Run {
    agent: u64,
    task: TaskId,
    sequence: u64,
}

/// A dispatcher whose agents run a fixed number of tasks; the oldest ends when another starts.
struct Driver {
    dispatcher: Dispatcher,
    now: Time,
    slowdowns: &'static [u32],
    /// CPU of the tasks that run at each agent, in thousandths of a core.
    used_cpu: HashMap<u64, u64>,
    running: VecDeque<Run>,
    placed: u64,
    actions: Vec<Action>,
}

impl Driver {
    fn new(targets: u64, slowdowns: &'static [u32]) -> Self {
        let mut driver = Self {
            dispatcher: Dispatcher::new(Timing::default(), START),
            now: START,
            slowdowns,
            used_cpu: HashMap::new(),
            running: VecDeque::new(),
            placed: 0,
            actions: Vec::new(),
        };
        for id in 0..targets {
            let profile = AgentProfile {
                node: NodeName::new(&format!("agent-{id:04}")),
                service: Arc::from("work"),
                hall: Arc::from("hall"),
                labels: vec![Arc::from(format!("r{}", id / 8).as_str())],
                capacity: Resources { cpu_milli: TARGET_CPU, memory_mb: 32_768, gpu: 0 },
            };
            driver.handle(Event::AgentOpened(SessionId(id)));
            let halls = EmptiedHalls::default();
            let hello = ToEntry::Hello { profile, document: 0, halls };
            driver.handle(Event::FromAgent(SessionId(id), hello));
            driver.report_load(id);
        }
        driver
    }

    fn load(&self, id: u64) -> Load {
        let used = self.used_cpu.get(&id).copied().unwrap_or(0);
        let cpu_milli = TARGET_CPU.saturating_sub(used);
        Load {
            at: self.now,
            free: Resources { cpu_milli, memory_mb: 32_768, gpu: 0 },
            taken_per_ms: 0,
            last_start_sequence: u64::MAX,
            open: true,
            on_trial: false,
            slowdown_percent: self.slowdowns[id as usize % self.slowdowns.len()],
        }
    }

    fn report_load(&mut self, id: u64) {
        let load = self.load(id);
        self.handle(Event::FromAgent(SessionId(id), ToEntry::Load(load)));
    }

    fn handle(&mut self, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.dispatcher.handle(self.now, event, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::Send(SessionId(agent), ToAgent::Start { job, tasks, .. }) => {
                    for start in tasks {
                        let task = TaskId { job: job.clone(), index: start.index };
                        self.running.push_back(Run { agent, task, sequence: start.sequence });
                        *self.used_cpu.entry(agent).or_default() += TASK_CPU;
                        self.placed += 1;
                    }
                }
                Action::Log(LogEvent::Breach(breach)) => panic!("{breach}"),
                _ => {}
            }
        }
        self.actions = actions;
    }

    fn submit(&mut self, number: u32) {
        let request = JobRequest {
            id: JobId::new(&format!("{number:016x}")),
            queue: Arc::from("q"),
            service: Arc::from("work"),
            spec: Arc::from("spec"),
            shape: TaskShape {
                count: TASKS_PER_JOB,
                resources: Resources { cpu_milli: TASK_CPU, memory_mb: 64, gpu: 0 },
                estimated_ms: 200,
                requirement: None,
                affinity: None,
                max_per_target: None,
            },
            priority: 1,
            max_attempts: 2,
            objective: Duration::from_millis(380),
            deadline: Duration::from_secs(60),
        };
        self.handle(Event::Submit(CallId(u64::from(number)), request));
    }

    fn end_oldest(&mut self) {
        let Some(run) = self.running.pop_front() else { return };
        if let Some(used) = self.used_cpu.get_mut(&run.agent) {
            *used -= TASK_CPU;
        }
        let load = self.load(run.agent);
        let report =
            TaskReport { task: run.task, sequence: run.sequence, end: TaskEnd::Done, ran_ms: 200 };
        let ended = ToEntry::Ended { reports: vec![report], load };
        self.handle(Event::FromAgent(SessionId(run.agent), ended));
    }
}

/// Measures the CPU time of all decisions of a dispatcher per placed task, from submission to
/// answer.
pub fn measure_capacity_placement() {
    print_header(
        "entry, placement by capacity: CPU time of all decisions per placed task (median of 5 runs)",
        "   targets    speeds   us/task",
    );
    for targets in [70, 300, 1_000] {
        for (name, slowdowns) in [("equal", EQUAL), ("unequal", UNEQUAL)] {
            let mut times: Vec<f64> =
                (0..5).map(|_| microseconds_per_task(targets, slowdowns)).collect();
            times.sort_by(f64::total_cmp);
            println!("{targets:>10} {name:>9} {:>9.2}", times[2]);
        }
    }
}

fn microseconds_per_task(targets: u64, slowdowns: &'static [u32]) -> f64 {
    let mut driver = Driver::new(targets, slowdowns);
    let running = (targets as f64 * TARGET_CPU as f64 * UTILIZATION / TASK_CPU as f64) as usize;
    let step = |driver: &mut Driver, number: u32| {
        // Time passes slowly, so that loads stay recent without further reports.
        driver.now = driver.now + Duration::from_nanos(1_000);
        driver.submit(number);
        while driver.running.len() > running {
            driver.end_oldest();
        }
    };
    let warm_up = running as u32 / TASKS_PER_JOB + 1;
    (0..warm_up).for_each(|number| step(&mut driver, number));
    let placed = driver.placed;
    let (seconds, ()) =
        measure_seconds(|| (warm_up..warm_up + JOBS).for_each(|number| step(&mut driver, number)));
    seconds * 1e6 / (driver.placed - placed) as f64
}
