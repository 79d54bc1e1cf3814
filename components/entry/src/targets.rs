//! The agents that an entry knows and its sessions with them.

use std::collections::BTreeSet;

use model::{Map, NodeName, NodeRef, TaskKey, Time};
use placement::TargetId;
use wire::AgentInfo;

use crate::Connection;

/// Weight of one observation in a target's slowness.
const SLOWNESS_STEP: f64 = 0.1;
/// Service time over the kind's mean from which a target counts as straggling.
const STRAGGLES_FROM: f64 = 2.0;
/// ... and below which it no longer does.
const STRAGGLES_UNTIL: f64 = 1.4;

/// An open session with an agent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Link {
    pub connection: Connection,
    /// Exchanges sent and not answered.
    pub exchanges: u32,
    /// When the agent was last heard of on it.
    pub heard: Time,
}

/// One agent with its target.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub node: NodeRef,
    pub service: String,
    pub remote: bool,
    pub rack: u32,
    pub slots: u32,
    /// It votes on submission ids made after this.
    pub votes_from: Time,
    pub leaving: bool,
    /// Its process is known to be dead.
    pub dead: bool,
    pub link: Option<Link>,
    /// Tasks sent to it whose fate has to be asked for.
    pub unsettled: BTreeSet<TaskKey>,
    pub straggling: bool,
    /// The failure detector suspects its host.
    pub suspected: bool,
    slowness: f64,
}

impl Target {
    /// Notes a task's time over its kind's mean; returns whether it now straggles, on a change.
    pub fn note_time(&mut self, over_mean: f64) -> Option<bool> {
        self.slowness += (over_mean - self.slowness) * SLOWNESS_STEP;
        let straggling = match self.straggling {
            false => self.slowness >= STRAGGLES_FROM,
            true => self.slowness >= STRAGGLES_UNTIL,
        };
        let changed = straggling != self.straggling;
        self.straggling = straggling;
        changed.then_some(straggling)
    }

    /// The connection, while a session is open.
    pub fn connection(&self) -> Option<Connection> {
        self.link.map(|link| link.connection)
    }
}

/// Every agent by name and number.
#[derive(Debug, Default)]
pub(crate) struct Targets {
    ids: Map<NodeName, TargetId>,
    list: Vec<Target>,
    racks: Map<String, u32>,
}

impl Targets {
    /// Opens a session; returns the agent's number.
    pub fn up(
        &mut self,
        info: &AgentInfo,
        connection: Connection,
        own_hall: &str,
        now: Time,
    ) -> TargetId {
        let racks = self.racks.len() as u32;
        let rack = *self.racks.entry(info.rack.clone()).or_insert(racks);
        let link = Link { connection, exchanges: 0, heard: now };
        let name = info.agent.name.clone();
        let id = match self.ids.get(&name) {
            Some(id) => *id,
            None => self.add(name, info),
        };
        let target = &mut self.list[id.0 as usize];
        let restarted = target.node.incarnation != info.agent.incarnation;
        target.node = info.agent.clone();
        target.service = info.service.clone();
        target.remote = info.hall != own_hall;
        target.rack = rack;
        target.slots = info.slots;
        target.votes_from = info.votes_from;
        target.leaving = info.leaving || (target.leaving && !restarted);
        target.dead = false;
        target.suspected = false;
        target.link = Some(link);
        id
    }

    fn add(&mut self, name: NodeName, info: &AgentInfo) -> TargetId {
        let id = TargetId(self.list.len() as u32);
        self.ids.insert(name, id);
        self.list.push(Target {
            node: info.agent.clone(),
            service: info.service.clone(),
            remote: false,
            rack: 0,
            slots: info.slots,
            votes_from: info.votes_from,
            leaving: false,
            dead: false,
            link: None,
            unsettled: BTreeSet::new(),
            straggling: false,
            suspected: false,
            slowness: 1.0,
        });
        id
    }

    pub fn id(&self, name: &NodeName) -> Option<TargetId> {
        self.ids.get(name).copied()
    }

    pub fn get(&self, id: TargetId) -> &Target {
        &self.list[id.0 as usize]
    }

    pub fn get_mut(&mut self, id: TargetId) -> &mut Target {
        &mut self.list[id.0 as usize]
    }

    /// The target, where the connection is still the one of its open session.
    pub fn on(&self, name: &NodeName, connection: Connection) -> Option<TargetId> {
        let id = self.id(name)?;
        (self.get(id).connection() == Some(connection)).then_some(id)
    }

    /// Whether an agent can be reached and votes on ids made from now on.
    pub fn votes(&self, name: &NodeName, now: Time) -> bool {
        self.id(name).is_some_and(|id| self.get(id).link.is_some() && self.get(id).votes_from < now)
    }

    /// Whether a session with this agent is open.
    pub fn is_up(&self, name: &NodeName) -> bool {
        self.id(name).is_some_and(|id| self.get(id).link.is_some())
    }

    pub fn ids(&self) -> impl Iterator<Item = TargetId> + use<> {
        (0..self.list.len() as u32).map(TargetId)
    }
}
