//! Capacity that less urgent jobs leave free for more urgent ones.
//!
//! Tasks are not preempted. At full targets, free capacity goes to whichever entry uses it first,
//! so a wide urgent job would start task by task between the less urgent jobs of other entries and
//! end late. So a job starts only if enough capacity for a typical more urgent job remains. This
//! matters under overload while part of the targets is unreachable.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use model::Time;

use crate::agents::Agent;
use crate::event::{JobRequest, SessionId};
use crate::timing::Timing;

/// Number of typical more urgent jobs to reserve capacity for. More than one, as arrivals are
/// uneven and load reports are slightly old.
const RESERVED_JOBS: f64 = 1.5;
/// Upper bound on the reserve as a fraction of the total capacity. With few targets, a reserve for
/// one wide job would leave much of it idle.
const MAX_RESERVED_FRACTION: f64 = 0.07;
/// Time without a more urgent job after which nothing is reserved.
const OBSERVATION_PERIOD: Duration = Duration::from_secs(2);
/// Weight of a new job in the moving average of job sizes.
const SIZE_SMOOTHING: f64 = 0.1;

/// Moving averages over the jobs of one service and priority.
#[derive(Clone, Copy, Debug)]
struct TypicalJob {
    /// Mean CPU of all tasks of a job together, in thousandths of a core.
    cpu_milli: f64,
    /// Mean CPU of a single task, in thousandths of a core.
    task_cpu_milli: f64,
    /// When the last such job was admitted.
    last_admitted: Time,
}

/// Typical jobs by service and priority, from which the reserve is computed.
#[derive(Debug, Default)]
pub(crate) struct UrgentReserve(BTreeMap<Arc<str>, BTreeMap<u8, TypicalJob>>);

impl UrgentReserve {
    /// Updates the averages with an admitted job.
    pub fn record_job(&mut self, now: Time, request: &JobRequest) {
        let cpu_milli = total_cpu_milli(request) as f64;
        let task_cpu_milli = request.shape.resources.cpu_milli as f64;
        let by_priority = self.0.entry(request.service.clone()).or_default();
        let first = TypicalJob { cpu_milli, task_cpu_milli, last_admitted: now };
        let typical = by_priority.entry(request.priority).or_insert(first);
        typical.cpu_milli += (cpu_milli - typical.cpu_milli) * SIZE_SMOOTHING;
        typical.task_cpu_milli += (task_cpu_milli - typical.task_cpu_milli) * SIZE_SMOOTHING;
        typical.last_admitted = now;
    }

    /// Whether all tasks of a job fit into the free capacity with the reserve left over.
    pub fn leaves_reserve(
        &self,
        now: Time,
        request: &JobRequest,
        capacity: ServiceCapacity,
    ) -> bool {
        let Some(largest) = self.largest_more_urgent(now, request) else { return true };
        let reserved =
            (largest.cpu_milli * RESERVED_JOBS).min(capacity.total as f64 * MAX_RESERVED_FRACTION);
        // A reserve smaller than one task would be of no use.
        reserved < largest.task_cpu_milli
            || total_cpu_milli(request) + reserved as u64 <= capacity.free
    }

    /// Returns the largest typical job of the service that is more urgent and was admitted
    /// recently.
    fn largest_more_urgent(&self, now: Time, request: &JobRequest) -> Option<TypicalJob> {
        let is_recent =
            |typical: &TypicalJob| now.since(typical.last_admitted) < OBSERVATION_PERIOD;
        let more_urgent = self.0.get(&request.service)?.range(..request.priority);
        let typical = more_urgent.map(|(_, typical)| *typical).filter(is_recent);
        typical.max_by(|a, b| a.cpu_milli.total_cmp(&b.cpu_milli))
    }
}

/// CPU capacity of all known targets of a service that accept work, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServiceCapacity {
    pub free: u64,
    pub total: u64,
}

/// Capacity of each service, computed on first use within a pass.
#[derive(Debug, Default)]
pub(crate) struct ServiceCapacities(BTreeMap<Arc<str>, ServiceCapacity>);

impl ServiceCapacities {
    /// Returns the capacity of a service.
    pub fn get(
        &mut self,
        service: &Arc<str>,
        agents: &BTreeMap<SessionId, Agent>,
        now: Time,
        timing: &Timing,
    ) -> ServiceCapacity {
        if let Some(capacity) = self.0.get(service) {
            return *capacity;
        }
        let serving =
            agents.values().filter(|agent| agent.serves(service, now, timing.max_load_age));
        let capacity =
            serving.fold(ServiceCapacity::default(), |capacity, agent| ServiceCapacity {
                free: capacity.free + agent.free(now).cpu_milli,
                total: capacity.total + agent.capacity().cpu_milli,
            });
        self.0.insert(service.clone(), capacity);
        capacity
    }

    /// Subtracts the CPU of a placed task.
    pub fn consume(&mut self, service: &Arc<str>, cpu_milli: u64) {
        if let Some(capacity) = self.0.get_mut(service) {
            capacity.free = capacity.free.saturating_sub(cpu_milli);
        }
    }
}

fn total_cpu_milli(request: &JobRequest) -> u64 {
    request.shape.resources.cpu_milli * u64::from(request.shape.count)
}
