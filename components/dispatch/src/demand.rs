//! Reports of the work that waits for capacity to agents, which divide scarce capacity by it.
//!
//! Answers bursts in which entries with uneven amounts of work compete for too little capacity: an
//! agent that knows only who sent starts offers each entry the same.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use model::Time;
use wire::{Demand, MAX_DEMAND_ROWS};

use crate::agents::Agent;
use crate::dispatcher::Dispatcher;
use crate::event::SessionId;

/// Minimum interval between summaries of the queue. Agents are sent a report each 100 ms at most,
/// so that fresher summaries would change little.
const SUMMARY_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of queued tasks that a summary counts. An entry with more than this is far behind
/// every other one.
const MAX_COUNTED_TASKS: usize = 4_096;
/// Maximum number of groups in a summary; tasks of further ones are not counted.
const MAX_GROUPS: usize = 64;

/// The tasks that the same targets can run: their service and the label that they require.
type Group = (Arc<str>, Option<Arc<str>>);

/// The work of one priority in a group.
#[derive(Clone, Copy, Debug)]
struct Row {
    tasks: u32,
    cpu_milli: u64,
    latest_start: Time,
}

impl Row {
    fn merge(&mut self, other: &Self) {
        self.tasks += other.tasks;
        self.cpu_milli += other.cpu_milli;
        self.latest_start = self.latest_start.min(other.latest_start);
    }
}

fn add(rows: &mut BTreeMap<u8, Row>, priority: u8, row: &Row) {
    rows.entry(priority).and_modify(|known| known.merge(row)).or_insert(*row);
}

fn is_served_by((service, label): &Group, agent: &Agent) -> bool {
    agent.profile.as_ref().is_some_and(|profile| profile.service == *service)
        && label.as_ref().is_none_or(|label| agent.has_label(label))
}

/// The tasks that wait for capacity, by group and priority.
#[derive(Debug, Default)]
pub(crate) struct WaitingSummary {
    computed_at: Option<Time>,
    groups: BTreeMap<Group, BTreeMap<u8, Row>>,
}

impl WaitingSummary {
    /// Whether work waits that an agent's target could run.
    pub fn concerns(&self, agent: &Agent) -> bool {
        self.groups.keys().any(|group| is_served_by(group, agent))
    }

    /// The waiting work that an agent's target could run, most urgent first. Beyond the maximum
    /// number of rows, less urgent work is added to the last one.
    pub fn for_agent(&self, now: Time, agent: &Agent) -> Vec<Demand> {
        let mut by_priority = BTreeMap::new();
        for (_, rows) in self.groups.iter().filter(|(group, _)| is_served_by(group, agent)) {
            rows.iter().for_each(|(priority, row)| add(&mut by_priority, *priority, row));
        }
        while by_priority.len() > MAX_DEMAND_ROWS
            && let Some((_, last)) = by_priority.pop_last()
            && let Some(mut previous) = by_priority.last_entry()
        {
            previous.get_mut().merge(&last);
        }
        let demand = |(priority, row): (u8, Row)| Demand {
            priority,
            tasks: row.tasks,
            cpu_milli: row.cpu_milli,
            due_ms: u32::try_from(row.latest_start.since(now).as_millis()).unwrap_or(u32::MAX),
        };
        by_priority.into_iter().map(demand).collect()
    }
}

impl Dispatcher {
    /// An agent has announced that it reads reports of the waiting work.
    pub(crate) fn enable_demand(&mut self, id: SessionId) {
        if let Some(agent) = self.agents.get_mut(&id) {
            agent.reads_demand = self.policy.report_demand;
        }
    }

    /// Summarizes the queue, unless this was done recently.
    pub(crate) fn update_waiting_summary(&mut self, now: Time) {
        let is_recent = |at| now.since(at) < SUMMARY_INTERVAL;
        if !self.policy.report_demand || self.waiting_summary.computed_at.is_some_and(is_recent) {
            return;
        }
        self.waiting_summary.computed_at = Some(now);
        let mut groups: BTreeMap<Group, BTreeMap<u8, Row>> = BTreeMap::new();
        // Tasks of a job follow each other in the queue.
        let mut queue = self.queue.iter().take(MAX_COUNTED_TASKS).peekable();
        while let Some(first) = queue.next() {
            let (mut tasks, mut cpu_milli) = (1, first.cpu_milli);
            while let Some(next) = queue.next_if(|next| next.job == first.job) {
                tasks += 1;
                cpu_milli += next.cpu_milli;
            }
            let Some(job) = self.jobs.get(&first.job) else { continue };
            let shape = &job.request.shape;
            let group = (job.request.service.clone(), shape.requirement.clone());
            if groups.len() >= MAX_GROUPS && !groups.contains_key(&group) {
                continue;
            }
            let work = Duration::from_millis(u64::from(shape.estimated_ms));
            let slack = job.request.objective.saturating_sub(work + self.timing.start_overhead);
            let row = Row { tasks, cpu_milli, latest_start: job.submitted + slack };
            add(groups.entry(group).or_default(), first.priority, &row);
        }
        self.waiting_summary.groups = groups;
    }
}
