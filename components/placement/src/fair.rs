//! Waiting jobs: teams in weighted fair order, then earliest deadline first.
//!
//! Start-time fair queueing: a team's virtual time rises by its task count over its weight, and
//! the waiting team with the lowest virtual time is next. A team that was idle starts from the
//! present virtual time, so that idleness earns no credit.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use model::{Map, Time};

/// Virtual time of one task of a team of weight 1.
const TASK: u64 = 1_000_000;

/// A job's place in its team's order: its deadline, then its arrival.
type Place = (Time, u64);

#[derive(Debug)]
struct Team<J> {
    weight: u32,
    virtual_time: u64,
    jobs: BTreeMap<Place, J>,
    /// Tasks waiting in all its jobs.
    tasks: usize,
}

/// The jobs that wait for slots of one service.
#[derive(Debug)]
pub struct FairQueue<J> {
    teams: Map<Arc<str>, Team<J>>,
    /// Teams with waiting jobs, by virtual time.
    order: BTreeSet<(u64, Arc<str>)>,
    virtual_time: u64,
    tasks: usize,
    weights: u64,
}

impl<J: Copy> Default for FairQueue<J> {
    fn default() -> Self {
        Self {
            teams: Map::default(),
            order: BTreeSet::new(),
            virtual_time: 0,
            tasks: 0,
            weights: 0,
        }
    }
}

impl<J: Copy> FairQueue<J> {
    /// Adds a job with so many waiting tasks. `arrival` tells jobs of one deadline apart.
    pub fn insert(
        &mut self,
        team: &Arc<str>,
        weight: u32,
        deadline: Time,
        arrival: u64,
        tasks: usize,
        job: J,
    ) {
        let fresh = || Team { weight, virtual_time: 0, jobs: BTreeMap::new(), tasks: 0 };
        let entry = self.teams.entry(team.clone()).or_insert_with(fresh);
        if entry.jobs.is_empty() {
            entry.weight = weight.max(1);
            entry.virtual_time = entry.virtual_time.max(self.virtual_time);
            self.order.insert((entry.virtual_time, team.clone()));
            self.weights += u64::from(entry.weight);
        }
        entry.jobs.insert((deadline, arrival), job);
        entry.tasks += tasks;
        self.tasks += tasks;
    }

    /// The job whose task is next.
    pub fn head(&self) -> Option<J> {
        let (_, team) = self.order.first()?;
        self.teams[team].jobs.values().next().copied()
    }

    /// Charges the team of the head for one task of its job.
    pub fn take_task(&mut self) {
        let Some((virtual_time, name)) = self.order.pop_first() else { return };
        let Some(team) = self.teams.get_mut(&name) else { return };
        self.virtual_time = virtual_time;
        team.virtual_time += TASK / u64::from(team.weight);
        team.tasks -= 1;
        self.tasks -= 1;
        self.order.insert((team.virtual_time, name));
    }

    /// Takes a job out with the tasks that still wait.
    pub fn remove(&mut self, name: &Arc<str>, deadline: Time, arrival: u64, tasks: usize) {
        let Some(team) = self.teams.get_mut(name) else { return };
        if team.jobs.remove(&(deadline, arrival)).is_none() {
            return;
        }
        team.tasks -= tasks;
        self.tasks -= tasks;
        if team.jobs.is_empty() {
            self.order.remove(&(team.virtual_time, name.clone()));
            self.weights -= u64::from(team.weight);
            self.forget_if_caught_up(name);
        }
    }

    /// An idle team whose virtual time is past needs no memory.
    fn forget_if_caught_up(&mut self, name: &Arc<str>) {
        if self.teams[name].virtual_time <= self.virtual_time {
            self.teams.remove(name);
        }
        if self.order.is_empty() {
            self.teams.clear();
            self.virtual_time = 0;
        }
    }

    /// Tasks waiting in all jobs.
    pub fn waiting_tasks(&self) -> usize {
        self.tasks
    }

    /// Tasks ahead of a new job of this team: all that wait, or where its fair part of the slots
    /// serves it sooner, its own team's over that part.
    pub fn tasks_ahead(&self, name: &str, weight: u32) -> usize {
        let (own, own_weight, others) = match self.teams.get(name) {
            Some(team) if !team.jobs.is_empty() => {
                (team.tasks, team.weight, self.weights - u64::from(team.weight))
            }
            _ => (0, weight.max(1), self.weights),
        };
        let weights = u64::from(own_weight) + others;
        let by_share = (own as u64).saturating_mul(weights) / u64::from(own_weight);
        self.tasks.min(usize::try_from(by_share).unwrap_or(usize::MAX))
    }
}
