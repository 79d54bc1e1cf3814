//! A failure detector after SWIM: each node probes one other a period, asks others to probe in its
//! place where no answer comes, suspects before it declares dead, and spreads news on the probes.
//!
//! The load of a node does not depend on how many there are. A suspected node refutes with a
//! higher generation, so that a process that stood still for less than the suspicion time is
//! never declared dead. (Das, Gupta, Motivala: SWIM, DSN 2002.)

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use model::{NodeName, Time};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::gossip::Gossip;
use crate::{Message, Status, Update};

/// Updates on one message, so that it fits a datagram.
const UPDATES: usize = 6;
/// Nodes asked to probe in one's place.
const HELPERS: usize = 3;
/// Times that an update is told by each node, over the logarithm of their number.
const TOLD_FACTOR: u32 = 3;

/// The detector's times.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// From one probe to the next.
    pub period: Duration,
    /// From a probe to the asking of helpers.
    pub direct: Duration,
    /// Longest stall of a process that must cost nothing. From suspicion to death it takes this
    /// and the time for a refutation to reach every node: a period for each doubling of their
    /// number.
    pub stall: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            period: Duration::from_millis(500),
            direct: Duration::from_millis(150),
            stall: Duration::from_millis(3_500),
        }
    }
}

/// What a node is taken for.
pub type Liveness = Status;

/// What the detector does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Sends a message.
    Send(NodeName, Message),
    /// A node is taken for something else than before.
    LivenessChanged(NodeName, Liveness),
}

#[derive(Clone, Copy, Debug)]
struct Member {
    generation: u64,
    status: Status,
    /// When a suspicion becomes death.
    dies: Option<Time>,
}

/// A probe that is not answered yet.
#[derive(Clone, Debug)]
struct Probe {
    target: NodeName,
    number: u64,
    /// When helpers are asked; none once they were.
    helpers_at: Option<Time>,
    ends: Time,
}

/// One node's view of all others.
#[derive(Debug)]
pub struct Detector {
    name: NodeName,
    generation: u64,
    timing: Timing,
    rng: ChaCha8Rng,
    members: BTreeMap<NodeName, Member>,
    /// Whom to probe, in a shuffled round, so that each is probed once a round.
    round: Vec<NodeName>,
    gossip: Gossip,
    probe: Option<Probe>,
    next_probe: Time,
    numbers: u64,
    /// Pings made for others: own number to (asker, asker's number).
    errands: HashMap<u64, (NodeName, u64)>,
}

impl Detector {
    /// A detector of a node in a life; `generation` is higher in each life, `seed` any number.
    pub fn new(name: NodeName, generation: u64, seed: u64, timing: Timing, now: Time) -> Self {
        Self {
            name,
            generation,
            timing,
            rng: ChaCha8Rng::seed_from_u64(seed),
            members: BTreeMap::new(),
            round: Vec::new(),
            gossip: Gossip::default(),
            probe: None,
            next_probe: now,
            numbers: 0,
            errands: HashMap::new(),
        }
    }

    /// Sets who may exist; those that are no longer named are forgotten.
    pub fn set_members(&mut self, names: impl Iterator<Item = NodeName>) {
        let mut old = std::mem::take(&mut self.members);
        for name in names.filter(|name| *name != self.name) {
            let fresh = Member { generation: 0, status: Status::Alive, dies: None };
            let member = old.remove(&name).unwrap_or(fresh);
            self.members.insert(name, member);
        }
        self.round.clear();
    }

    /// What a node is taken for; `None` for one that is not named.
    pub fn liveness(&self, name: &NodeName) -> Option<Liveness> {
        self.members.get(name).map(|member| member.status)
    }

    /// A direct sign of life, such as an answer on another way.
    pub fn heard(&mut self, now: Time, name: &NodeName, out: &mut Vec<Event>) {
        let Some(generation) = self.members.get(name).map(|member| member.generation) else {
            return;
        };
        if self.liveness(name) == Some(Status::Suspect) {
            self.set(now, name, generation, Status::Alive, out);
        }
    }

    /// Takes a message.
    pub fn handle(&mut self, now: Time, from: &NodeName, message: Message, out: &mut Vec<Event>) {
        for update in message.updates() {
            self.learn(now, update, out);
        }
        self.reply(from, message, out);
        self.heard(now, from, out);
    }

    fn reply(&mut self, from: &NodeName, message: Message, out: &mut Vec<Event>) {
        match message {
            Message::Ping { number, .. } => {
                let updates = self.updates_for(from);
                out.push(Event::Send(from.clone(), Message::Ack { number, updates }));
            }
            Message::PingFor { number, target, .. } => {
                let own = self.next_number();
                self.errands.insert(own, (from.clone(), number));
                let updates = self.updates_for(&target);
                out.push(Event::Send(target, Message::Ping { number: own, updates }));
            }
            Message::Ack { number, .. } => self.acked(number, out),
        }
    }

    fn acked(&mut self, number: u64, out: &mut Vec<Event>) {
        if let Some((asker, asked)) = self.errands.remove(&number) {
            let updates = self.updates_for(&asker);
            return out.push(Event::Send(asker, Message::Ack { number: asked, updates }));
        }
        if self.probe.as_ref().is_some_and(|probe| probe.number == number) {
            self.probe = None;
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Event>) {
        self.bury(now, out);
        self.ask_helpers(now, out);
        if self.probe.as_ref().is_some_and(|probe| probe.ends <= now) {
            self.suspect_probed(now, out);
        }
        if self.next_probe <= now {
            self.next_probe = now + self.timing.period;
            self.errands.clear();
            self.probe_next(now, out);
        }
    }

    /// When the next tick is due.
    pub fn next_timer(&self) -> Time {
        let probe = self.probe.as_ref();
        let helpers = probe.and_then(|probe| probe.helpers_at);
        let ends = probe.map(|probe| probe.ends);
        let deaths = self.members.values().filter_map(|member| member.dies);
        let due = deaths.chain(helpers).chain(ends).min();
        due.map_or(self.next_probe, |due| due.min(self.next_probe))
    }

    /// Suspected nodes that did not refute it are dead.
    fn bury(&mut self, now: Time, out: &mut Vec<Event>) {
        let due = |(_, member): &(&NodeName, &Member)| member.dies.is_some_and(|dies| dies <= now);
        let dead: Vec<(NodeName, u64)> = self
            .members
            .iter()
            .filter(due)
            .map(|(name, member)| (name.clone(), member.generation))
            .collect();
        for (name, generation) in dead {
            self.set(now, &name, generation, Status::Dead, out);
        }
    }

    fn probe_next(&mut self, now: Time, out: &mut Vec<Event>) {
        if self.round.is_empty() {
            self.round = self.members.keys().cloned().collect();
            self.round.shuffle(&mut self.rng);
        }
        let Some(target) = self.round.pop() else { return };
        let number = self.next_number();
        self.probe = Some(Probe {
            target: target.clone(),
            number,
            helpers_at: Some(now + self.timing.direct),
            ends: now + self.timing.period,
        });
        let updates = self.updates_for(&target);
        out.push(Event::Send(target, Message::Ping { number, updates }));
    }

    fn ask_helpers(&mut self, now: Time, out: &mut Vec<Event>) {
        let Some(probe) = &mut self.probe else { return };
        if probe.helpers_at.is_none_or(|at| at > now) {
            return;
        }
        probe.helpers_at = None;
        let (target, number) = (probe.target.clone(), probe.number);
        for _ in 0..HELPERS.min(self.members.len().saturating_sub(1)) {
            let pick = self.rng.random_range(0..self.members.len());
            let Some(helper) = self.members.keys().nth(pick).cloned() else { continue };
            if helper != target {
                let updates = self.updates_for(&helper);
                let target = target.clone();
                out.push(Event::Send(helper, Message::PingFor { number, target, updates }));
            }
        }
    }

    fn suspect_probed(&mut self, now: Time, out: &mut Vec<Event>) {
        let Some(probe) = self.probe.take() else { return };
        let Some(member) = self.members.get(&probe.target).copied() else { return };
        if member.status == Status::Alive {
            self.set(now, &probe.target, member.generation, Status::Suspect, out);
        }
    }

    /// Takes news of a node, unless something newer is known.
    fn learn(&mut self, now: Time, update: &Update, out: &mut Vec<Event>) {
        if update.node == self.name {
            return self.refute(update);
        }
        let Some(member) = self.members.get(&update.node) else { return };
        if update.beats(member.generation, member.status) {
            self.set(now, &update.node, update.generation, update.status, out);
        }
    }

    /// Bad news of this node itself: a higher generation says that it lives.
    fn refute(&mut self, update: &Update) {
        if update.status != Status::Alive {
            self.generation = self.generation.max(update.generation + 1);
            let (node, generation) = (self.name.clone(), self.generation);
            self.gossip.add(Update { node, generation, status: Status::Alive });
        }
    }

    fn set(
        &mut self,
        now: Time,
        name: &NodeName,
        generation: u64,
        status: Status,
        out: &mut Vec<Event>,
    ) {
        let spread = self.timing.period * (self.members.len().max(1).ilog2() + 1);
        let Some(member) = self.members.get_mut(name) else { return };
        let changed = member.status != status;
        let dies = (status == Status::Suspect).then(|| now + self.timing.stall + spread);
        *member = Member { generation, status, dies };
        self.gossip.add(Update { node: name.clone(), generation, status });
        if changed {
            out.push(Event::LivenessChanged(name.clone(), status));
        }
    }

    fn next_number(&mut self) -> u64 {
        self.numbers += 1;
        self.numbers
    }

    /// News for a message. A node that is not taken for alive is always told so, that it may
    /// refute it: it may have missed all that was spread.
    fn updates_for(&mut self, to: &NodeName) -> Vec<Update> {
        let nodes = self.members.len().max(1) as u32;
        let mut updates = self.gossip.take(UPDATES, TOLD_FACTOR * (nodes.ilog2() + 1));
        if let Some(member) = self.members.get(to).filter(|m| m.status != Status::Alive) {
            let (node, generation) = (to.clone(), member.generation);
            updates.push(Update { node, generation, status: member.status });
        }
        updates
    }
}
