//! SWIM failure detector (Das, Gupta, Motivala: SWIM, DSN 2002).
//!
//! Each node probes one other node per period, indirectly if no acknowledgement arrives, and marks
//! it as suspect before it declares it dead. A suspected node refutes the suspicion with a higher
//! generation, so a process that is paused for no longer than [`Timing::max_stall`] is not declared
//! dead.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use model::{NodeName, Time};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::gossip::Gossip;
use crate::{Message, Status, Update};

/// Maximum number of piggybacked updates per message, so that a message fits in a datagram.
const MAX_UPDATES: usize = 6;
/// Number of nodes that are asked for an indirect probe.
const INDIRECT_PROBES: usize = 3;
/// Each node sends an update this many times for each doubling of the number of nodes.
const RETRANSMIT_FACTOR: u32 = 3;

/// Probe intervals and timeouts.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Interval between two probes sent by a node.
    pub period: Duration,
    /// Time without an acknowledgement after which indirect probes are requested.
    pub direct_timeout: Duration,
    /// Longest pause of a process that must not get it declared dead. The suspicion timeout is this
    /// value plus the time for a refutation to reach every node: one period for each doubling of
    /// the number of nodes.
    pub max_stall: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            period: Duration::from_millis(500),
            direct_timeout: Duration::from_millis(150),
            max_stall: Duration::from_millis(3_500),
        }
    }
}

/// A node's status according to the local detector.
pub type Liveness = Status;

/// Output of the detector.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Send the message to the node.
    Send(NodeName, Message),
    /// The liveness of the node changed to the given value.
    LivenessChanged(NodeName, Liveness),
}

#[derive(Clone, Copy, Debug)]
struct Member {
    generation: u64,
    status: Status,
    /// When a suspected node is declared dead; `None` if it is not suspected.
    dead_at: Option<Time>,
}

/// A probe that has not been acknowledged yet.
#[derive(Clone, Debug)]
struct Probe {
    target: NodeName,
    number: u64,
    /// When indirect probes are sent; `None` after they were sent.
    indirect_at: Option<Time>,
    timeout_at: Time,
}

/// The state of the failure detector on one node.
#[derive(Debug)]
pub struct Detector {
    name: NodeName,
    generation: u64,
    timing: Timing,
    rng: ChaCha8Rng,
    members: BTreeMap<NodeName, Member>,
    /// Remaining probe targets of the current round, shuffled. Each member is probed once per
    /// round.
    probe_order: Vec<NodeName>,
    gossip: Gossip,
    probe: Option<Probe>,
    next_probe_at: Time,
    last_number: u64,
    /// Pings sent on behalf of other nodes, by ping number, with the requester and the number of
    /// its request.
    relayed_pings: HashMap<u64, (NodeName, u64)>,
}

impl Detector {
    /// Creates the detector of the node `name`. `generation` must be higher at every start of the
    /// node; `seed` initializes the random choice of probe targets.
    pub fn new(name: NodeName, generation: u64, seed: u64, timing: Timing, now: Time) -> Self {
        Self {
            name,
            generation,
            timing,
            rng: ChaCha8Rng::seed_from_u64(seed),
            members: BTreeMap::new(),
            probe_order: Vec::new(),
            gossip: Gossip::default(),
            probe: None,
            next_probe_at: now,
            last_number: 0,
            relayed_pings: HashMap::new(),
        }
    }

    /// Replaces the set of monitored nodes. The state of nodes that are no longer in the set is
    /// dropped.
    pub fn set_members(&mut self, names: impl Iterator<Item = NodeName>) {
        let mut old = std::mem::take(&mut self.members);
        for name in names.filter(|name| *name != self.name) {
            let initial = Member { generation: 0, status: Status::Alive, dead_at: None };
            let member = old.remove(&name).unwrap_or(initial);
            self.members.insert(name, member);
        }
        self.probe_order.clear();
    }

    /// Returns the liveness of a node, or `None` if it is not monitored.
    pub fn liveness(&self, name: &NodeName) -> Option<Liveness> {
        self.members.get(name).map(|member| member.status)
    }

    /// Records a message from a node on any channel, which ends a suspicion.
    pub fn record_contact(&mut self, now: Time, name: &NodeName, events: &mut Vec<Event>) {
        let Some(generation) = self.members.get(name).map(|member| member.generation) else {
            return;
        };
        if self.liveness(name) == Some(Status::Suspect) {
            self.set_status(now, name, generation, Status::Alive, events);
        }
    }

    /// Handles a message of another node.
    pub fn handle(
        &mut self,
        now: Time,
        from: &NodeName,
        message: Message,
        events: &mut Vec<Event>,
    ) {
        for update in message.updates() {
            self.apply_update(now, update, events);
        }
        self.dispatch_message(from, message, events);
        self.record_contact(now, from, events);
    }

    fn dispatch_message(&mut self, from: &NodeName, message: Message, events: &mut Vec<Event>) {
        match message {
            Message::Ping { number, .. } => {
                let updates = self.updates_for(from);
                events.push(Event::Send(from.clone(), Message::Ack { number, updates }));
            }
            Message::PingFor { number, target, .. } => {
                let relay_number = self.next_number();
                self.relayed_pings.insert(relay_number, (from.clone(), number));
                let updates = self.updates_for(&target);
                events.push(Event::Send(target, Message::Ping { number: relay_number, updates }));
            }
            Message::Ack { number, .. } => self.handle_ack(number, events),
        }
    }

    fn handle_ack(&mut self, number: u64, events: &mut Vec<Event>) {
        if let Some((requester, request_number)) = self.relayed_pings.remove(&number) {
            let updates = self.updates_for(&requester);
            return events
                .push(Event::Send(requester, Message::Ack { number: request_number, updates }));
        }
        if self.probe.as_ref().is_some_and(|probe| probe.number == number) {
            self.probe = None;
        }
    }

    /// Expires suspicions and sends the probes that are due at `now`.
    pub fn tick(&mut self, now: Time, events: &mut Vec<Event>) {
        self.expire_suspicions(now, events);
        self.send_indirect_probes(now, events);
        if self.probe.as_ref().is_some_and(|probe| probe.timeout_at <= now) {
            self.suspect_probe_target(now, events);
        }
        if self.next_probe_at <= now {
            self.next_probe_at = now + self.timing.period;
            self.relayed_pings.clear();
            self.send_next_probe(now, events);
        }
    }

    /// Returns the time at which [`Detector::tick`] must be called next.
    pub fn next_timer(&self) -> Time {
        let probe = self.probe.as_ref();
        let indirect = probe.and_then(|probe| probe.indirect_at);
        let timeout_at = probe.map(|probe| probe.timeout_at);
        let dead_times = self.members.values().filter_map(|member| member.dead_at);
        let earliest = dead_times.chain(indirect).chain(timeout_at).min();
        earliest.map_or(self.next_probe_at, |at| at.min(self.next_probe_at))
    }

    /// Declares nodes dead whose suspicion timed out without a refutation.
    fn expire_suspicions(&mut self, now: Time, events: &mut Vec<Event>) {
        let due = |(_, member): &(&NodeName, &Member)| member.dead_at.is_some_and(|at| at <= now);
        let dead: Vec<(NodeName, u64)> = self
            .members
            .iter()
            .filter(due)
            .map(|(name, member)| (name.clone(), member.generation))
            .collect();
        for (name, generation) in dead {
            self.set_status(now, &name, generation, Status::Dead, events);
        }
    }

    fn send_next_probe(&mut self, now: Time, events: &mut Vec<Event>) {
        if self.probe_order.is_empty() {
            self.probe_order = self.members.keys().cloned().collect();
            self.probe_order.shuffle(&mut self.rng);
        }
        let Some(target) = self.probe_order.pop() else { return };
        let number = self.next_number();
        self.probe = Some(Probe {
            target: target.clone(),
            number,
            indirect_at: Some(now + self.timing.direct_timeout),
            timeout_at: now + self.timing.period,
        });
        let updates = self.updates_for(&target);
        events.push(Event::Send(target, Message::Ping { number, updates }));
    }

    fn send_indirect_probes(&mut self, now: Time, events: &mut Vec<Event>) {
        let Some(probe) = &mut self.probe else { return };
        if probe.indirect_at.is_none_or(|at| at > now) {
            return;
        }
        probe.indirect_at = None;
        let (target, number) = (probe.target.clone(), probe.number);
        for _ in 0..INDIRECT_PROBES.min(self.members.len().saturating_sub(1)) {
            let pick = self.rng.random_range(0..self.members.len());
            let Some(helper) = self.members.keys().nth(pick).cloned() else { continue };
            if helper != target {
                let updates = self.updates_for(&helper);
                let target = target.clone();
                events.push(Event::Send(helper, Message::PingFor { number, target, updates }));
            }
        }
    }

    fn suspect_probe_target(&mut self, now: Time, events: &mut Vec<Event>) {
        let Some(probe) = self.probe.take() else { return };
        let Some(member) = self.members.get(&probe.target).copied() else { return };
        if member.status == Status::Alive {
            self.set_status(now, &probe.target, member.generation, Status::Suspect, events);
        }
    }

    /// Applies an update about a node unless the known state is newer.
    fn apply_update(&mut self, now: Time, update: &Update, events: &mut Vec<Event>) {
        if update.node == self.name {
            return self.refute(update);
        }
        let Some(member) = self.members.get(&update.node) else { return };
        if update.supersedes(member.generation, member.status) {
            self.set_status(now, &update.node, update.generation, update.status, events);
        }
    }

    /// Refutes a report that the local node is suspect or dead by announcing a higher generation.
    fn refute(&mut self, update: &Update) {
        if update.status != Status::Alive {
            self.generation = self.generation.max(update.generation + 1);
            let (node, generation) = (self.name.clone(), self.generation);
            self.gossip.add(Update { node, generation, status: Status::Alive });
        }
    }

    fn set_status(
        &mut self,
        now: Time,
        name: &NodeName,
        generation: u64,
        status: Status,
        events: &mut Vec<Event>,
    ) {
        let spread = self.timing.period * (self.members.len().max(1).ilog2() + 1);
        let Some(member) = self.members.get_mut(name) else { return };
        let changed = member.status != status;
        let dead_at = (status == Status::Suspect).then(|| now + self.timing.max_stall + spread);
        *member = Member { generation, status, dead_at };
        self.gossip.add(Update { node: name.clone(), generation, status });
        if changed {
            events.push(Event::LivenessChanged(name.clone(), status));
        }
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Returns the updates to piggyback on a message to `to`. If `to` is not considered alive, its
    /// status is always included, so that it can refute the status even if it missed the earlier
    /// updates.
    fn updates_for(&mut self, to: &NodeName) -> Vec<Update> {
        let nodes = self.members.len().max(1) as u32;
        let mut updates = self.gossip.take(MAX_UPDATES, RETRANSMIT_FACTOR * (nodes.ilog2() + 1));
        if let Some(member) = self.members.get(to).filter(|m| m.status != Status::Alive) {
            let (node, generation) = (to.clone(), member.generation);
            updates.push(Update { node, generation, status: member.status });
        }
        updates
    }
}
