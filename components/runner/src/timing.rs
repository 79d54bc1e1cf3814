//! Timeouts and intervals of an agent.

use std::time::Duration;

/// Timeouts and intervals of an agent.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Duration of the target's lease. Lease and `session_timeout` together have to be shorter than
    /// the time after which clients retry, so that no run of the first attempt overlaps the second,
    /// even if an entry and an agent fail in succession.
    pub lease: Duration,
    /// Upper bound of the lease that a target grants.
    pub max_lease: Duration,
    /// Timeout for the answer to a start or a stop.
    pub command_timeout: Duration,
    /// How long a hold waits for the end of a run.
    pub hold_wait: Duration,
    /// Timeout for the answer to a hold, beyond its wait.
    pub hold_slack: Duration,
    /// How long a target counts as unreliable after it has left a command unanswered.
    pub unanswered_retention: Duration,
    /// Lower bound of a hold's wait on an unreliable target; limits the CPU time spent on holds.
    pub short_hold_wait_min: Duration,
    /// Upper bound of a hold's wait on an unreliable target, as a run that starts during the hold
    /// may end before those that were active when it was sent.
    pub short_hold_wait_max: Duration,
    /// Timeout for the answer to a hold on an unreliable target, beyond its wait. A hold that times
    /// out costs a connection.
    pub short_hold_slack: Duration,
    /// A target that has not answered a hold for this long, beyond the wait of a hold, gets no new
    /// work.
    pub target_timeout: Duration,
    /// How long a start command stays valid after it is sent.
    pub start_validity: Duration,
    /// How long the target takes to stop a run.
    pub stop_duration: Duration,
    /// A session with runs is lost after this time without a message.
    pub session_timeout: Duration,
    /// A session without runs is lost after this time without a message. Nothing has to be stopped
    /// then, so heartbeats may be rarer.
    pub idle_session_timeout: Duration,
    /// Minimum time between the announcement that a retired session accepts no more work and its
    /// end; starts in flight are still carried out.
    pub retire_notice: Duration,
    /// A start is refused if the last load that its entry had received from this agent is older
    /// than this.
    pub max_start_age: Duration,
    /// A gap between two events after which the process counts as paused.
    pub pause_threshold: Duration,
    /// Minimum time between two load reports to an entry.
    pub min_load_interval: Duration,
    /// Upper bound of the time between two load reports while the load changes; the faster
    /// entries take capacity, the sooner the load is reported.
    pub max_adaptive_load_interval: Duration,
    /// The fraction of the free capacity that entries are expected to take before the load is
    /// reported again.
    pub load_change_fraction: f64,
    /// Maximum time between two load reports to an entry.
    pub max_load_interval: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(750),
            max_lease: Duration::from_secs(15),
            command_timeout: Duration::from_millis(40),
            hold_wait: Duration::from_millis(120),
            hold_slack: Duration::from_millis(50),
            unanswered_retention: Duration::from_secs(5),
            short_hold_wait_min: Duration::from_millis(20),
            short_hold_wait_max: Duration::from_millis(60),
            short_hold_slack: Duration::from_millis(20),
            target_timeout: Duration::from_millis(500),
            start_validity: Duration::from_millis(300),
            stop_duration: Duration::from_millis(50),
            session_timeout: Duration::from_millis(450),
            idle_session_timeout: Duration::from_millis(900),
            retire_notice: Duration::from_millis(500),
            max_start_age: Duration::from_millis(400),
            pause_threshold: Duration::from_millis(400),
            min_load_interval: Duration::from_millis(8),
            max_adaptive_load_interval: Duration::from_millis(90),
            load_change_fraction: 0.5,
            max_load_interval: Duration::from_millis(100),
        }
    }
}
