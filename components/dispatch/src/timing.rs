//! Intervals and timeouts of an entry.

use std::time::Duration;

/// Intervals and timeouts of an entry.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Interval between heartbeats to an agent that has tasks of this entry.
    pub heartbeat_interval: Duration,
    /// Interval between heartbeats to an agent that has no tasks of this entry and so nothing to
    /// stop if the entry dies. Several must fit into the agent's timeout for such sessions.
    pub idle_heartbeat_interval: Duration,
    /// Age of an agent's last load after which the agent gets no new work. Must leave time for late
    /// reports of a throttled host.
    pub max_load_age: Duration,
    /// Time without a report from an agent after which its session is closed.
    pub session_timeout: Duration,
    /// Gap between two events from which the process is taken to have been paused, so that agents
    /// have already closed its sessions.
    pub pause_threshold: Duration,
    /// Time after the loss of an agent by which all of its tasks have stopped.
    pub lost_agent_lease: Duration,
    /// How long a task may wait for capacity at an agent. Short, so that a start which conflicts
    /// with those of other entries is soon retried elsewhere.
    pub max_wait_at_agent: Duration,
    /// Lower bound, as a fraction of the objective, on a job's wait for its first start before it
    /// is refused.
    pub min_wait_fraction: f64,
    /// Upper bound, as a fraction of the objective, on that wait. Well below the slack that the
    /// estimate leaves, as later tasks wait too and estimates are inaccurate.
    pub max_wait_fraction: f64,
    /// Time that starting and answering a job takes besides its work.
    pub start_overhead: Duration,
    /// Time before the client's deadline at which a job is answered, so that the answer arrives in
    /// time.
    pub answer_margin: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(100),
            idle_heartbeat_interval: Duration::from_millis(280),
            max_load_age: Duration::from_millis(200),
            session_timeout: Duration::from_millis(700),
            pause_threshold: Duration::from_millis(450),
            lost_agent_lease: Duration::from_millis(1_250),
            max_wait_at_agent: Duration::from_millis(10),
            min_wait_fraction: 0.08,
            max_wait_fraction: 0.20,
            start_overhead: Duration::from_millis(15),
            answer_margin: Duration::from_millis(20),
        }
    }
}
