//! Baselines: a task goes to a target at once and queues there.

use std::collections::VecDeque;
use std::time::Duration;

use model::Time;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::clock::Clock;
use super::report::Measured;
use super::workload::{CLIENT_LINK, Mishap, SHARES, SLOTS, START, TARGETS, Workload};

/// How a target is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Any one.
    Random,
    /// The one of two with the lower load, as last reported on an answer, plus what this entry
    /// sent it since.
    TwoChoices,
    /// None: one queue for all, that knows every slot at once. No such thing can be had; it is
    /// the bound for all that serve in the order of arrival.
    Central,
}

#[derive(Clone, Copy, Debug)]
struct Task {
    job: usize,
    number: usize,
    entry: usize,
}

#[derive(Debug)]
enum Happening {
    Arrives(usize),
    AtTarget(usize, Task),
    Ends(usize, Task),
    Answered { task: Task, target: usize, load: usize },
    Killed(usize),
}

#[derive(Debug, Default)]
struct Target {
    running: u32,
    queue: VecDeque<Task>,
    dead: bool,
}

struct Run<'a> {
    workload: &'a Workload,
    choice: Choice,
    rng: ChaCha8Rng,
    clock: Clock<Happening>,
    targets: Vec<Target>,
    /// The one queue of the bound.
    common: VecDeque<Task>,
    /// What each entry takes for each target's load.
    loads: Vec<Vec<usize>>,
    missing: Vec<usize>,
    measured: Measured,
}

/// Runs a workload.
pub fn run(workload: &Workload, seed: u64, choice: Choice) -> Measured {
    let mut run = Run {
        workload,
        choice,
        rng: ChaCha8Rng::seed_from_u64(seed + 1),
        clock: Clock::new(START),
        targets: (0..TARGETS).map(|_| Target::default()).collect(),
        common: VecDeque::new(),
        loads: vec![vec![0; TARGETS]; SHARES.len()],
        missing: workload.jobs.iter().map(|job| job.tasks.len()).collect(),
        measured: Measured::default(),
    };
    for (number, job) in workload.jobs.iter().enumerate() {
        run.clock.at(job.at + CLIENT_LINK, Happening::Arrives(number));
        run.measured.tasks += job.tasks.len() as u64;
    }
    if workload.scenario.mishap == Mishap::Killed {
        run.clock.at(workload.mishap_at, Happening::Killed(0));
    }
    while let Some(happening) = run.clock.next() {
        run.happen(happening);
    }
    let lost = run.missing.iter().filter(|missing| **missing > 0).count();
    run.measured.failed += lost as u64;
    run.measured
}

impl Run<'_> {
    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Arrives(job) => self.arrives(job),
            Happening::AtTarget(target, task) => self.at_target(target, task),
            Happening::Ends(target, task) => self.ends(target, task),
            Happening::Answered { task, target, load } => self.answered(task, target, load),
            Happening::Killed(target) => {
                self.targets[target].dead = true;
                self.targets[target].queue.clear();
            }
        }
    }

    fn arrives(&mut self, job: usize) {
        let entry = self.workload.jobs[job].entry;
        for number in 0..self.workload.jobs[job].tasks.len() {
            let target = self.choose(entry);
            self.loads[entry][target] += 1;
            self.measured.messages += 1;
            let task = Task { job, number, entry };
            self.clock.after(self.workload.link, Happening::AtTarget(target, task));
        }
    }

    /// A dead target is known to be dead at once: its connection is refused.
    fn choose(&mut self, entry: usize) -> usize {
        let living: Vec<usize> =
            (0..TARGETS).filter(|target| !self.targets[*target].dead).collect();
        let first = living[self.rng.random_range(0..living.len())];
        let second = living[self.rng.random_range(0..living.len())];
        match self.choice {
            Choice::Random => first,
            Choice::TwoChoices if self.loads[entry][second] < self.loads[entry][first] => second,
            Choice::TwoChoices => first,
            // Whichever has a free slot, or else the common queue's first.
            Choice::Central => self.freest().unwrap_or(first),
        }
    }

    fn freest(&self) -> Option<usize> {
        let living = (0..TARGETS).filter(|target| !self.targets[*target].dead);
        living.min_by_key(|target| {
            let target = &self.targets[*target];
            target.running as usize + target.queue.len()
        })
    }

    fn at_target(&mut self, target: usize, task: Task) {
        if self.targets[target].dead {
            return;
        }
        if self.choice == Choice::Central {
            self.common.push_back(task);
            (0..TARGETS).for_each(|target| self.start_next(target));
            return;
        }
        self.targets[target].queue.push_back(task);
        self.start_next(target);
    }

    fn start_next(&mut self, target: usize) {
        while self.targets[target].running < SLOTS && !self.targets[target].dead {
            let queue = match self.choice {
                Choice::Central => &mut self.common,
                _ => &mut self.targets[target].queue,
            };
            let Some(task) = queue.pop_front() else { return };
            self.targets[target].running += 1;
            let time = self.workload.jobs[task.job].tasks[task.number];
            let time = self.workload.time_at(target, time);
            self.clock.after(time, Happening::Ends(target, task));
        }
    }

    fn ends(&mut self, target: usize, task: Task) {
        if self.targets[target].dead {
            return;
        }
        self.targets[target].running -= 1;
        let load = self.targets[target].running as usize + self.targets[target].queue.len();
        self.measured.messages += 1;
        self.clock.after(self.workload.link, Happening::Answered { task, target, load });
        self.start_next(target);
    }

    fn answered(&mut self, task: Task, target: usize, load: usize) {
        self.loads[task.entry][target] = load;
        self.missing[task.job] -= 1;
        if self.missing[task.job] > 0 {
            return;
        }
        let job = &self.workload.jobs[task.job];
        let done: Time = self.clock.now + CLIENT_LINK;
        let response: Duration = done.since(job.at);
        self.measured.answered(response, job.ideal());
        self.measured.useful += self.workload.share_of(job);
    }
}
