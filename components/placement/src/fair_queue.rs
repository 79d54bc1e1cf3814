//! Queue of waiting jobs: weighted fair between teams, earliest deadline first within a team.
//!
//! Teams are ordered by start-time fair queueing. The virtual time of a team advances by one task
//! over its weight, and the waiting team with the lowest virtual time is served next. A team that
//! was idle resumes at the current virtual time, so idle time earns no credit.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use model::{Map, Time};

/// Virtual time of one task for a team of weight 1.
const VIRTUAL_TIME_PER_TASK: u64 = 1_000_000;

/// Sort key of a job within its team: deadline, then arrival number.
type JobKey = (Time, u64);

#[derive(Debug)]
struct Team<J> {
    weight: u32,
    virtual_time: u64,
    jobs: BTreeMap<JobKey, J>,
    /// Waiting tasks of all jobs of the team.
    tasks: usize,
}

/// Jobs that wait for slots of one service.
#[derive(Debug)]
pub struct FairQueue<J> {
    teams: Map<Arc<str>, Team<J>>,
    /// Teams with waiting jobs, sorted by virtual time.
    active_teams: BTreeSet<(u64, Arc<str>)>,
    /// Virtual time of the team that was served last.
    virtual_time: u64,
    /// Waiting tasks of all teams.
    tasks: usize,
    /// Sum of the weights of the teams with waiting jobs.
    total_weight: u64,
}

impl<J: Copy> Default for FairQueue<J> {
    fn default() -> Self {
        Self {
            teams: Map::default(),
            active_teams: BTreeSet::new(),
            virtual_time: 0,
            tasks: 0,
            total_weight: 0,
        }
    }
}

impl<J: Copy> FairQueue<J> {
    /// Adds a job with `tasks` waiting tasks. `arrival` orders jobs with the same deadline.
    pub fn insert(
        &mut self,
        team: &Arc<str>,
        weight: u32,
        deadline: Time,
        arrival: u64,
        tasks: usize,
        job: J,
    ) {
        let new_team = || Team { weight, virtual_time: 0, jobs: BTreeMap::new(), tasks: 0 };
        let state = self.teams.entry(team.clone()).or_insert_with(new_team);
        if state.jobs.is_empty() {
            state.weight = weight.max(1);
            state.virtual_time = state.virtual_time.max(self.virtual_time);
            self.active_teams.insert((state.virtual_time, team.clone()));
            self.total_weight += u64::from(state.weight);
        }
        state.jobs.insert((deadline, arrival), job);
        state.tasks += tasks;
        self.tasks += tasks;
    }

    /// Returns the job whose task is served next.
    pub fn head(&self) -> Option<J> {
        let (_, team) = self.active_teams.first()?;
        self.teams[team].jobs.values().next().copied()
    }

    /// Removes one task from the queue, charging the team of the job returned by
    /// [`FairQueue::head`].
    pub fn take_task(&mut self) {
        let Some((virtual_time, name)) = self.active_teams.pop_first() else { return };
        let Some(team) = self.teams.get_mut(&name) else { return };
        self.virtual_time = virtual_time;
        team.virtual_time += VIRTUAL_TIME_PER_TASK / u64::from(team.weight);
        team.tasks -= 1;
        self.tasks -= 1;
        self.active_teams.insert((team.virtual_time, name));
    }

    /// Removes a job and its remaining `tasks` waiting tasks.
    pub fn remove(&mut self, name: &Arc<str>, deadline: Time, arrival: u64, tasks: usize) {
        let Some(team) = self.teams.get_mut(name) else { return };
        if team.jobs.remove(&(deadline, arrival)).is_none() {
            return;
        }
        team.tasks -= tasks;
        self.tasks -= tasks;
        if team.jobs.is_empty() {
            self.active_teams.remove(&(team.virtual_time, name.clone()));
            self.total_weight -= u64::from(team.weight);
            self.drop_idle_team(name);
        }
    }

    /// Drops the state of an idle team that is not ahead of the current virtual time, and of all
    /// teams if no team has waiting jobs.
    fn drop_idle_team(&mut self, name: &Arc<str>) {
        if self.teams[name].virtual_time <= self.virtual_time {
            self.teams.remove(name);
        }
        if self.active_teams.is_empty() {
            self.teams.clear();
            self.virtual_time = 0;
        }
    }

    /// Returns the number of waiting tasks of all jobs.
    pub fn waiting_tasks(&self) -> usize {
        self.tasks
    }

    /// Estimates the number of tasks that are served before a new job of the team: the team's own
    /// waiting tasks divided by its fair share, but at most all waiting tasks.
    pub fn tasks_ahead(&self, name: &str, weight: u32) -> usize {
        let (own_tasks, own_weight, other_weight) = match self.teams.get(name) {
            Some(team) if !team.jobs.is_empty() => {
                (team.tasks, team.weight, self.total_weight - u64::from(team.weight))
            }
            _ => (0, weight.max(1), self.total_weight),
        };
        let total_weight = u64::from(own_weight) + other_weight;
        let by_share = (own_tasks as u64).saturating_mul(total_weight) / u64::from(own_weight);
        self.tasks.min(usize::try_from(by_share).unwrap_or(usize::MAX))
    }
}
