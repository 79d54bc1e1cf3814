//! Room that less urgent jobs leave free for more urgent ones.
//!
//! Tasks are not preempted, and at full targets whoever asks first gets what becomes free: a wide urgent
//! job finds its room task by task, behind less urgent ones of all entries, and ends late however high its
//! priority. So a job begins only where room for the usual more urgent job stays free beside it.
//!
//! The load that this answers is far more than the usual jobs while part of the targets is cut off (`soak/tests/load.rs`).

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use model::Time;

use crate::agents::Agent;
use crate::dispatcher::Timing;
use crate::event::{JobRequest, SessionId};

/// How many of the usual more urgent job find room. More than one: jobs come unevenly, and loads are some milliseconds old.
const JOBS_KEPT: f64 = 1.5;
/// What part of all known room is kept at most. Where targets are few, one wide job would keep much of it idle.
const PART_KEPT: f64 = 0.07;
/// Without a more urgent job for so long nothing is kept for one.
const MEMORY: Duration = Duration::from_secs(2);
/// Weight of a job in the mean size of its kind.
const SIZE_WEIGHT: f64 = 0.1;

/// The usual job of a service and priority.
#[derive(Clone, Copy, Debug)]
struct Usual {
    /// Mean of what all tasks of a job take together, in thousandths of a core.
    cpu_milli: f64,
    /// Mean of what one task takes.
    task_cpu_milli: f64,
    /// When one came last.
    at: Time,
}

/// The usual jobs, by service and priority.
#[derive(Debug, Default)]
pub(crate) struct Reserve(BTreeMap<Arc<str>, BTreeMap<u8, Usual>>);

impl Reserve {
    /// Takes note of a job that has come.
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

    /// Whether a job may begin: all of it, and what is kept for more urgent ones, finds room.
    pub fn leaves_enough(&self, now: Time, request: &JobRequest, room: Room) -> bool {
        let Some(largest) = self.largest_before(now, request) else { return true };
        let kept = (largest.cpu_milli * JOBS_KEPT).min(room.all as f64 * PART_KEPT);
        // What does not hold a task of it is no use to it.
        kept < largest.task_cpu_milli || all_tasks(request) + kept as u64 <= room.free
    }

    /// The largest usual job of the service that is more urgent and came lately.
    fn largest_before(&self, now: Time, request: &JobRequest) -> Option<Usual> {
        let lately = |usual: &Usual| now.since(usual.at) < MEMORY;
        let more_urgent = self.0.get(&request.service)?.range(..request.priority);
        let usual = more_urgent.map(|(_, usual)| *usual).filter(lately);
        usual.max_by(|a, b| a.cpu_milli.total_cmp(&b.cpu_milli))
    }
}

/// The room of all known targets of a service that take work, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Room {
    pub free: u64,
    pub all: u64,
}

/// The room of each service, summed up when it is first asked for.
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

    /// A task was placed.
    pub fn taken(&mut self, service: &Arc<str>, cpu_milli: u64) {
        if let Some(room) = self.0.get_mut(service) {
            room.free = room.free.saturating_sub(cpu_milli);
        }
    }
}

fn all_tasks(request: &JobRequest) -> u64 {
    request.shape.resources.cpu_milli * u64::from(request.shape.count)
}
