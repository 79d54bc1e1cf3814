//! Baseline policies, which send each task to a target at once, where it waits for a slot.

use std::collections::VecDeque;
use std::time::Duration;

use model::Time;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::event_queue::EventQueue;
use super::report::Measurements;
use super::workload::{CLIENT_LINK, ENTRY_SHARES, Fault, SLOTS, START, TARGETS, Workload};

/// How an entry selects the target of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Selection {
    /// A random target.
    Random,
    /// The less loaded of two random targets, by the load in their last answer plus the tasks that
    /// this entry has sent since.
    TwoChoices,
    /// One queue shared by all targets, with immediate knowledge of every free slot: a theoretical
    /// bound for policies that serve tasks in order of arrival.
    Central,
}

#[derive(Clone, Copy, Debug)]
struct Task {
    job: usize,
    index: usize,
    entry: usize,
}

#[derive(Debug)]
enum SimEvent {
    JobArrived(usize),
    TaskArrived(usize, Task),
    TaskEnded(usize, Task),
    Answered { task: Task, target: usize, load: usize },
    TargetKilled(usize),
}

#[derive(Debug, Default)]
struct Target {
    running: u32,
    queue: VecDeque<Task>,
    is_dead: bool,
}

struct Simulation<'a> {
    workload: &'a Workload,
    selection: Selection,
    rng: ChaCha8Rng,
    events: EventQueue<SimEvent>,
    targets: Vec<Target>,
    /// The shared queue of [`Selection::Central`].
    shared_queue: VecDeque<Task>,
    /// Each entry's estimate of the load of each target.
    loads: Vec<Vec<usize>>,
    /// Number of unanswered tasks of each job.
    unanswered_tasks: Vec<usize>,
    measurements: Measurements,
}

/// Simulates a workload and returns its measurements. Jobs without all answers count as failed.
pub fn run(workload: &Workload, seed: u64, selection: Selection) -> Measurements {
    let mut simulation = Simulation {
        workload,
        selection,
        rng: ChaCha8Rng::seed_from_u64(seed + 1),
        events: EventQueue::new(START),
        targets: (0..TARGETS).map(|_| Target::default()).collect(),
        shared_queue: VecDeque::new(),
        loads: vec![vec![0; TARGETS]; ENTRY_SHARES.len()],
        unanswered_tasks: workload.jobs.iter().map(|job| job.tasks.len()).collect(),
        measurements: Measurements::default(),
    };
    for (index, job) in workload.jobs.iter().enumerate() {
        simulation.events.schedule_at(job.submitted_at + CLIENT_LINK, SimEvent::JobArrived(index));
        simulation.measurements.tasks += job.tasks.len() as u64;
    }
    if workload.scenario.fault == Fault::Killed {
        simulation.events.schedule_at(workload.fault_at, SimEvent::TargetKilled(0));
    }
    while let Some(event) = simulation.events.pop_next() {
        simulation.handle_event(event);
    }
    let incomplete_jobs = simulation.unanswered_tasks.iter().filter(|count| **count > 0).count();
    simulation.measurements.failed += incomplete_jobs as u64;
    simulation.measurements
}

impl Simulation<'_> {
    fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::JobArrived(job) => self.job_arrived(job),
            SimEvent::TaskArrived(target, task) => self.task_arrived(target, task),
            SimEvent::TaskEnded(target, task) => self.task_ended(target, task),
            SimEvent::Answered { task, target, load } => self.answer_arrived(task, target, load),
            SimEvent::TargetKilled(target) => {
                self.targets[target].is_dead = true;
                self.targets[target].queue.clear();
            }
        }
    }

    fn job_arrived(&mut self, job: usize) {
        let entry = self.workload.jobs[job].entry;
        for index in 0..self.workload.jobs[job].tasks.len() {
            let target = self.select_target(entry);
            self.loads[entry][target] += 1;
            self.measurements.messages += 1;
            let task = Task { job, index, entry };
            self.events.schedule_after(self.workload.link, SimEvent::TaskArrived(target, task));
        }
    }

    /// Selects a target among those alive. Entries detect a dead target at once because it refuses
    /// connections.
    fn select_target(&mut self, entry: usize) -> usize {
        let alive: Vec<usize> =
            (0..TARGETS).filter(|target| !self.targets[*target].is_dead).collect();
        let first = alive[self.rng.random_range(0..alive.len())];
        let second = alive[self.rng.random_range(0..alive.len())];
        match self.selection {
            Selection::Random => first,
            Selection::TwoChoices if self.loads[entry][second] < self.loads[entry][first] => second,
            Selection::TwoChoices => first,
            // The shared queue decides where a task runs; the choice only matters if the target
            // dies before the task arrives.
            Selection::Central => self.least_loaded().unwrap_or(first),
        }
    }

    fn least_loaded(&self) -> Option<usize> {
        let alive = (0..TARGETS).filter(|target| !self.targets[*target].is_dead);
        alive.min_by_key(|target| {
            let target = &self.targets[*target];
            target.running as usize + target.queue.len()
        })
    }

    fn task_arrived(&mut self, target: usize, task: Task) {
        if self.targets[target].is_dead {
            return;
        }
        if self.selection == Selection::Central {
            self.shared_queue.push_back(task);
            (0..TARGETS).for_each(|target| self.start_next(target));
            return;
        }
        self.targets[target].queue.push_back(task);
        self.start_next(target);
    }

    fn start_next(&mut self, target: usize) {
        while self.targets[target].running < SLOTS && !self.targets[target].is_dead {
            let queue = match self.selection {
                Selection::Central => &mut self.shared_queue,
                _ => &mut self.targets[target].queue,
            };
            let Some(task) = queue.pop_front() else { return };
            self.targets[target].running += 1;
            let service_time = self.workload.jobs[task.job].tasks[task.index];
            let service_time = self.workload.service_time_at(target, service_time);
            self.events.schedule_after(service_time, SimEvent::TaskEnded(target, task));
        }
    }

    fn task_ended(&mut self, target: usize, task: Task) {
        if self.targets[target].is_dead {
            return;
        }
        self.targets[target].running -= 1;
        let load = self.targets[target].running as usize + self.targets[target].queue.len();
        self.measurements.messages += 1;
        self.events.schedule_after(self.workload.link, SimEvent::Answered { task, target, load });
        self.start_next(target);
    }

    fn answer_arrived(&mut self, task: Task, target: usize, load: usize) {
        self.loads[task.entry][target] = load;
        self.unanswered_tasks[task.job] -= 1;
        if self.unanswered_tasks[task.job] > 0 {
            return;
        }
        let job = &self.workload.jobs[task.job];
        let answered_at: Time = self.events.now + CLIENT_LINK;
        let response: Duration = answered_at.since(job.submitted_at);
        self.measurements.record_answer(response, job.ideal());
        self.measurements.useful_share += self.workload.capacity_share(job);
    }
}
