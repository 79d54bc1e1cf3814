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
use crate::dispatcher::Timing;
use crate::event::{JobRequest, SessionId};

/// Number of typical more urgent jobs to reserve capacity for. More than one, as arrivals are
/// uneven and load reports are slightly old.
const JOBS_KEPT: f64 = 1.5;
/// Upper bound on the reserve as a fraction of the total capacity. With few targets, a reserve for
/// one wide job would leave much of it idle.
const PART_KEPT: f64 = 0.07;
/// Time without a more urgent job after which nothing is reserved.
const MEMORY: Duration = Duration::from_secs(2);
/// Weight of a new job in the moving average of job sizes.
const SIZE_WEIGHT: f64 = 0.1;

/// Moving averages over the jobs of one service and priority.
#[derive(Clone, Copy, Debug)]
struct Usual {
    /// Mean CPU of all tasks of a job together, in thousandths of a core.
    cpu_milli: f64,
    /// Mean CPU of a single task, in thousandths of a core.
    task_cpu_milli: f64,
    /// When the last such job was admitted.
    at: Time,
}

/// Typical jobs by service and priority, from which the reserve is computed.
#[derive(Debug, Default)]
pub(crate) struct Reserve(BTreeMap<Arc<str>, BTreeMap<u8, Usual>>);

impl Reserve {
    /// Updates the averages with an admitted job.
    pub fn job_came(&mut self, now: Time, request: &JobRequest) {
        let cpu_milli = all_tasks(request) as f64;
        let task_cpu_milli = request.shape.resources.cpu_milli as f64;
        let kinds = self.0.entry(request.service.clone()).or_default();
        let first = Usual { cpu_milli, task_cpu_milli, at: now };
        let usual = kinds.entry(request.priority).or_insert(first);
        usual.cpu_milli += (cpu_milli - usual.cpu_milli) * SIZE_WEIGHT;
        usual.task_cpu_milli += (task_cpu_milli - usual.task_cpu_milli) * SIZE_WEIGHT;
        usual.at = now;
    }

    /// Whether all tasks of a job fit into the free capacity with the reserve left over.
    pub fn leaves_enough(&self, now: Time, request: &JobRequest, room: Room) -> bool {
        let Some(largest) = self.largest_before(now, request) else { return true };
        let kept = (largest.cpu_milli * JOBS_KEPT).min(room.all as f64 * PART_KEPT);
        // A reserve smaller than one task would be of no use.
        kept < largest.task_cpu_milli || all_tasks(request) + kept as u64 <= room.free
    }

    /// Returns the largest typical job of the service that is more urgent and was seen recently.
    fn largest_before(&self, now: Time, request: &JobRequest) -> Option<Usual> {
        let lately = |usual: &Usual| now.since(usual.at) < MEMORY;
        let more_urgent = self.0.get(&request.service)?.range(..request.priority);
        let usual = more_urgent.map(|(_, usual)| *usual).filter(lately);
        usual.max_by(|a, b| a.cpu_milli.total_cmp(&b.cpu_milli))
    }
}

/// CPU capacity of all known targets of a service that accept work, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Room {
    pub free: u64,
    pub all: u64,
}

/// Capacity of each service, computed on first use within a pass.
#[derive(Debug, Default)]
pub(crate) struct Rooms(BTreeMap<Arc<str>, Room>);

impl Rooms {
    pub fn of(
        &mut self,
        service: &Arc<str>,
        agents: &BTreeMap<SessionId, Agent>,
        now: Time,
        timing: &Timing,
    ) -> Room {
        if let Some(room) = self.0.get(service) {
            return *room;
        }
        let serving =
            agents.values().filter(|agent| agent.serves(service, now, timing.max_load_age));
        let room = serving.fold(Room::default(), |room, agent| Room {
            free: room.free + agent.free(now).cpu_milli,
            all: room.all + agent.capacity().cpu_milli,
        });
        self.0.insert(service.clone(), room);
        room
    }

    /// Subtracts the CPU of a placed task.
    pub fn taken(&mut self, service: &Arc<str>, cpu_milli: u64) {
        if let Some(room) = self.0.get_mut(service) {
            room.free = room.free.saturating_sub(cpu_milli);
        }
    }
}

fn all_tasks(request: &JobRequest) -> u64 {
    request.shape.resources.cpu_milli * u64::from(request.shape.count)
}
