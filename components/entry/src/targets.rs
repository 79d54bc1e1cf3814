//! The agents known to an entry and its sessions with them.

use std::collections::BTreeSet;

use model::{Map, NodeName, NodeRef, TaskKey, Time};
use placement::TargetId;
use wire::AgentInfo;

use crate::Connection;

/// Weight of one observation in the moving average of a target's slowness.
const SLOWNESS_WEIGHT: f64 = 0.1;
/// Ratio of service time to the kind's mean from which a target counts as straggling.
const STRAGGLING_FROM: f64 = 2.0;
/// Ratio below which a straggling target counts as recovered; lower, to avoid flapping.
const STRAGGLING_UNTIL: f64 = 1.4;

/// An open session with an agent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Session {
    pub connection: Connection,
    /// Token exchanges sent and not yet answered.
    pub pending_syncs: u32,
    /// When a message was last received from the agent or an exchange sent to it; either renews the
    /// lease of its tokens.
    pub last_contact: Time,
}

/// An agent and its target.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub node: NodeRef,
    pub service: String,
    /// Whether the target is in another data hall than the entry.
    pub remote: bool,
    /// The number that this entry gave the rack.
    pub rack: u32,
    pub slots: u32,
    /// The agent votes on claims of submission ids that were created after this time.
    pub votes_from: Time,
    /// Whether the target is leaving, so that it gets no new work.
    pub leaving: bool,
    /// Whether the agent's process is known to be dead.
    pub dead: bool,
    pub session: Option<Session>,
    /// Tasks sent to the agent that must be settled, since their start reply was lost.
    pub unsettled: BTreeSet<TaskKey>,
    /// Whether the target is much slower than the mean of its kinds.
    pub straggling: bool,
    /// Whether the failure detector suspects the host.
    pub suspected: bool,
    /// Moving average of service times relative to their kind's mean.
    slowness: f64,
}

impl Target {
    /// Records a service time relative to its kind's mean; returns the new straggling state if it
    /// changed.
    pub fn record_time(&mut self, relative_time: f64) -> Option<bool> {
        self.slowness += (relative_time - self.slowness) * SLOWNESS_WEIGHT;
        let straggling = match self.straggling {
            false => self.slowness >= STRAGGLING_FROM,
            true => self.slowness >= STRAGGLING_UNTIL,
        };
        let changed = straggling != self.straggling;
        self.straggling = straggling;
        changed.then_some(straggling)
    }

    /// The connection of the open session, if any.
    pub fn connection(&self) -> Option<Connection> {
        self.session.map(|session| session.connection)
    }
}

/// All known agents, by name and by number.
#[derive(Debug, Default)]
pub(crate) struct Targets {
    ids: Map<NodeName, TargetId>,
    list: Vec<Target>,
    racks: Map<String, u32>,
}

impl Targets {
    /// Records a new session of an agent; returns the number of its target.
    pub fn connect(
        &mut self,
        info: &AgentInfo,
        connection: Connection,
        own_hall: &str,
        now: Time,
    ) -> TargetId {
        let racks = self.racks.len() as u32;
        let rack = *self.racks.entry(info.rack.clone()).or_insert(racks);
        let session = Session { connection, pending_syncs: 0, last_contact: now };
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
        target.session = Some(session);
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
            session: None,
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

    /// The target of an agent if `connection` is the one of its open session.
    pub fn on_connection(&self, name: &NodeName, connection: Connection) -> Option<TargetId> {
        let id = self.id(name)?;
        (self.get(id).connection() == Some(connection)).then_some(id)
    }

    /// Whether an agent is connected and votes on ids created at `now`.
    pub fn can_vote(&self, name: &NodeName, now: Time) -> bool {
        self.id(name)
            .is_some_and(|id| self.get(id).session.is_some() && self.get(id).votes_from < now)
    }

    /// Whether a session with the agent is open.
    pub fn is_connected(&self, name: &NodeName) -> bool {
        self.id(name).is_some_and(|id| self.get(id).session.is_some())
    }

    pub fn ids(&self) -> impl Iterator<Item = TargetId> + use<> {
        (0..self.list.len() as u32).map(TargetId)
    }
}
