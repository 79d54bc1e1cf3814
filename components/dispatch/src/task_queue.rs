//! The queue of tasks that wait for capacity, with running sums of the waiting work.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use admission::WorkAhead;
use model::Time;

use crate::dispatcher::QueuedTask;
use crate::event::JobRequest;

/// Tasks whose due time falls into the same interval of this length share a sum. A sum over all
/// intervals ahead of a job then takes some tens of steps, where a scan of the queue would take as
/// many as there are tasks.
const DUE_INTERVAL_MICROS: u64 = 20_000;

/// Tasks that compete for the same targets.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct TargetGroup {
    pub service: Arc<str>,
    /// Label that the tasks require or prefer.
    pub label: Option<Arc<str>>,
}

impl TargetGroup {
    pub fn of(request: &JobRequest) -> Self {
        let shape = &request.shape;
        let label = shape.requirement.as_ref().or(shape.affinity.as_ref()).cloned();
        Self { service: request.service.clone(), label }
    }
}

/// Position of a sum in the order of the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SumKey {
    unstarted: bool,
    priority: u8,
    due_interval: u64,
}

impl SumKey {
    fn of(task: &QueuedTask) -> Self {
        Self::at(task.unstarted, task.priority, task.due)
    }

    fn at(unstarted: bool, priority: u8, due: Time) -> Self {
        Self { unstarted, priority, due_interval: due.as_micros() / DUE_INTERVAL_MICROS }
    }
}

/// Number and CPU of the tasks with the same key.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    tasks: usize,
    cpu_milli: u64,
}

/// Waiting tasks in the order in which they are placed.
#[derive(Debug, Default)]
pub(crate) struct TaskQueue {
    tasks: BTreeSet<QueuedTask>,
    sums: BTreeMap<TargetGroup, BTreeMap<SumKey, Sum>>,
}

impl TaskQueue {
    pub fn insert(&mut self, task: QueuedTask) {
        let (group, key, cpu_milli) = (task.group.clone(), SumKey::of(&task), task.cpu_milli);
        if self.tasks.insert(task) {
            let sum = self.sums.entry(group).or_default().entry(key).or_default();
            sum.tasks += 1;
            sum.cpu_milli += cpu_milli;
        }
    }

    /// Removes a task. Returns whether it was queued.
    pub fn remove(&mut self, task: &QueuedTask) -> bool {
        if !self.tasks.remove(task) {
            return false;
        }
        let Some(group) = self.sums.get_mut(&task.group) else { return true };
        let key = SumKey::of(task);
        if let Some(sum) = group.get_mut(&key) {
            sum.tasks -= 1;
            sum.cpu_milli -= task.cpu_milli;
            if sum.tasks == 0 {
                group.remove(&key);
            }
        }
        if group.is_empty() {
            self.sums.remove(&task.group);
        }
        true
    }

    pub fn iter(&self) -> impl Iterator<Item = &QueuedTask> {
        self.tasks.iter()
    }

    pub fn len(&self) -> usize {
        self.tasks.len()
    }

    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }

    /// Whether other tasks of the group wait behind a job that has not started. Tasks that are due
    /// within the same interval as the job, such as its own, do not count.
    pub fn has_work_behind(
        &self,
        group: &TargetGroup,
        unstarted: bool,
        priority: u8,
        due: Time,
    ) -> bool {
        let last = self.sums.get(group).and_then(|sums| sums.keys().next_back());
        last.is_some_and(|key| *key > SumKey::at(unstarted, priority, due))
    }

    /// Whether a task of the group waits.
    pub fn has_waiting(&self, group: &TargetGroup) -> bool {
        self.sums.contains_key(group)
    }

    /// The groups with waiting tasks.
    pub fn waiting_groups(&self) -> impl Iterator<Item = &TargetGroup> {
        self.sums.keys()
    }

    /// Returns the work of a group that is placed before a job that has not started. Tasks that are
    /// due within the same interval as the job, such as its own, are not included.
    pub fn work_ahead(
        &self,
        group: &TargetGroup,
        unstarted: bool,
        priority: u8,
        due: Time,
    ) -> WorkAhead {
        let Some(sums) = self.sums.get(group) else { return WorkAhead::default() };
        sums.range(..SumKey::at(unstarted, priority, due)).fold(
            WorkAhead::default(),
            |total, (key, sum)| WorkAhead {
                tasks: total.tasks + sum.tasks,
                cpu_milli: total.cpu_milli + sum.cpu_milli,
                started_cpu_milli: match key.unstarted {
                    true => total.started_cpu_milli,
                    false => total.started_cpu_milli + sum.cpu_milli,
                },
            },
        )
    }
}
