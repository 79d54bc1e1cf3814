//! The keeper's state machine: the replicated log with the settings tree on it.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use consensus::{
    Entry, Index, Payload, ProposalId, Record, RecoverError, Replica, Snapshot, Timing,
};
use model::{NodeName, Time};
use settings::Tree;
use thiserror::Error;
use wire::{
    ChangeRequest, Document, EmptiedHalls, HallOrder, PartRequest, PullReply, PullRequest,
    WatchReply, WatchRequest,
};

use crate::registry::Registry;
use crate::{Action, Command, Event, LogCommand, News, Reply, State, Ticket, TreeReply};

/// How long a node that has the version in force waits for the next.
const PULL_TIME: Duration = Duration::from_secs(2);
/// Longest wait of an operator for a change; after it the outcome is unknown.
const CHANGE_TIME: Duration = Duration::from_secs(4);
/// Entries after which the log is replaced by a snapshot.
const COMPACT_AT: usize = 1_000;
/// Bytes of committed commands after which it is so as well: a sixteenth of the smallest disk so far (128 MB).
/// By entries alone 220 configurations of 845 kB filled a disk of 192 MB for good, that of each keeper at once.
const COMPACT_AT_BYTES: usize = 8_000_000;
/// Replaced documents that are still sent. While versions follow each other faster than a slow link carries one, a node
/// that had to begin anew with each would get none: it finishes one that is at most so many versions old.
const REPLACED_KEPT: usize = 3;
/// Versions shown to operators.
const HISTORY: usize = 100;

/// Why a keeper can't start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum KeeperError {
    /// The journal's records lead to no log.
    #[error("{0}")]
    Log(#[from] RecoverError),
    /// The snapshot can't be read.
    #[error("the snapshot can't be read")]
    Snapshot,
}

/// An operator that waits for a change.
#[derive(Clone, Copy, Debug)]
struct Waiter {
    ticket: Ticket,
    until: Time,
}

/// A node that waits for a newer version.
#[derive(Clone, Copy, Debug)]
struct Puller {
    ticket: Ticket,
    have: Option<u64>,
    until: Time,
}

/// One life of one keeper.
#[derive(Debug)]
pub struct Keeper {
    pub(crate) replica: Replica,
    state: State,
    /// Operators by the entry that holds their change, in its order: what follows from an event is the
    /// same in each run.
    waiters: BTreeMap<Index, Waiter>,
    pullers: Vec<Puller>,
    proposals: HashMap<ProposalId, Waiter>,
    next_proposal: u64,
    registry: Registry,
    /// The last documents that were replaced, the newest last.
    replaced: VecDeque<Document>,
    /// The disk takes nothing more: the replica is handed nothing, as if it stood still.
    pub(crate) disk_full: bool,
}

/// The records of a keeper of a new cluster, with the tree that it begins with.
pub fn initial_records(members: Vec<NodeName>, tree: Tree) -> Vec<Record> {
    consensus::initial_records(members, encode(&State::new(tree)))
}

fn encode(state: &State) -> Vec<u8> {
    serde_json::to_vec(state).expect("plain structs become JSON")
}

fn decode(snapshot: &Snapshot) -> Result<State, KeeperError> {
    if snapshot.state.is_empty() {
        return Ok(State::default());
    }
    serde_json::from_slice(&snapshot.state).map_err(|_| KeeperError::Snapshot)
}

impl Keeper {
    /// A keeper from its journal's records; `seed` is any number.
    pub fn recover(
        name: NodeName,
        records: Vec<Record>,
        timing: Timing,
        seed: u64,
        now: Time,
    ) -> Result<Self, KeeperError> {
        let replica = Replica::recover(name, records, timing, seed, now)?;
        let state = decode(replica.snapshot())?;
        let mut keeper = Self {
            replica,
            state,
            waiters: BTreeMap::new(),
            pullers: Vec::new(),
            proposals: HashMap::new(),
            next_proposal: 0,
            registry: Registry::new(seed),
            replaced: VecDeque::new(),
            disk_full: false,
        };
        keeper.apply_recovered(now);
        Ok(keeper)
    }

    /// Applies what the journal showed to be committed, so that nodes are told of it at once, and
    /// not only after an election. Nobody waits yet, and it was reported when it was committed first:
    /// the actions that follow are dropped.
    fn apply_recovered(&mut self, now: Time) {
        self.registry.document_is(self.state.document_version());
        self.registry.halls_are(self.state.halls().revision);
        let mut dropped = Vec::new();
        for entry in self.replica.recovered_entries() {
            self.commit(now, &entry, &mut dropped);
        }
    }

    /// Takes an event and adds the actions that follow.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        if self.disk_full {
            self.handle_without_disk(now, event, out);
        } else {
            self.handle_with_disk(now, event, out);
        }
        self.end_waits(now, out);
    }

    fn handle_with_disk(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Change(ticket, request) => self.change(now, ticket, request, out),
            Event::Read(ticket) => self.read(now, ticket, out),
            Event::History(ticket) => {
                let history = Reply::History(self.state.history(HISTORY));
                self.if_sure(now, ticket, history, out);
            }
            Event::Replace(ticket, document) => self.replace(now, ticket, document, out),
            Event::Fetch(ticket) => {
                let reply = Reply::Document(self.state.document().cloned());
                self.if_sure(now, ticket, reply, out);
            }
            Event::OrderHall(ticket, order) => self.order_hall(now, ticket, order, out),
            Event::ReadHalls(ticket) => {
                let halls = Reply::Halls(self.state.halls().clone());
                self.if_sure(now, ticket, halls, out);
            }
            Event::Watch(ticket, request) => self.watch(now, ticket, request, out),
            Event::Part(ticket, request) => self.part(ticket, request, out),
            Event::Resign => self.drive(now, consensus::Event::Resign, out),
            Event::Pull(ticket, request) => self.pull(now, ticket, &request, out),
            Event::Peer(from, message) => {
                self.drive(now, consensus::Event::Message { from, message }, out);
            }
            Event::Tick => self.drive(now, consensus::Event::Tick, out),
        }
    }

    pub(crate) fn watch(
        &mut self,
        now: Time,
        ticket: Ticket,
        request: WatchRequest,
        out: &mut Vec<Action>,
    ) {
        let ended = self.registry.watch(now, ticket, request);
        self.answer_watchers(ended, out);
    }

    /// What is committed here is sent whether or not this keeper leads.
    pub(crate) fn part(&self, ticket: Ticket, request: PartRequest, out: &mut Vec<Action>) {
        let documents = self.state.document().into_iter().chain(&self.replaced);
        let part = documents.filter_map(|document| document.part(request)).next();
        out.push(Action::Respond(ticket, Reply::Part(part)));
    }

    /// When the next tick is due; none where nothing waits for one.
    pub fn next_timer(&self) -> Option<Time> {
        let replica = (!self.disk_full).then(|| self.replica.next_timer());
        let pulls = self.pullers.iter().map(|puller| puller.until);
        let changes = self.waiters.values().map(|waiter| waiter.until);
        let watches = self.registry.next_timer();
        pulls.chain(changes).chain(watches).chain(replica).min()
    }

    /// The version in force here.
    pub fn version(&self) -> u64 {
        self.state.version()
    }

    /// The state machine's state.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// How many nodes are registered here.
    pub fn registered(&self) -> usize {
        self.registry.len()
    }

    /// Names keepers that one which is no member asks to be brought up to date by.
    pub fn set_contacts(&mut self, contacts: Vec<NodeName>) {
        self.replica.set_contacts(contacts);
    }

    /// Whether it is sure to lead now, and takes changes.
    pub fn is_sure(&self, now: Time) -> bool {
        !self.disk_full && self.replica.is_sure(now)
    }

    /// The replica below.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    fn change(&mut self, now: Time, ticket: Ticket, request: ChangeRequest, out: &mut Vec<Action>) {
        if !self.is_sure(now) {
            return self.unsure(ticket, out);
        }
        if let Some(first) = self.state.result(&request.change) {
            return out.push(Action::Respond(ticket, Reply::Change(first.clone())));
        }
        let command = LogCommand::Change(Command { request, taken: now });
        self.propose(now, ticket, &command, out);
    }

    /// A version that is not above the one in force changes nothing and is acknowledged: what is
    /// in force lasts.
    fn replace(&mut self, now: Time, ticket: Ticket, document: Document, out: &mut Vec<Action>) {
        if !self.is_sure(now) {
            return self.unsure(ticket, out);
        }
        if document.version <= self.state.document_version() {
            return out.push(Action::Respond(ticket, Reply::Replaced));
        }
        self.propose(now, ticket, &LogCommand::Replace(document), out);
    }

    /// Orders have no version: the log's order is theirs. Each goes through the log, also one that what is
    /// committed fulfils already, as the opposite order may be under way before it.
    fn order_hall(&mut self, now: Time, ticket: Ticket, order: HallOrder, out: &mut Vec<Action>) {
        if !self.is_sure(now) {
            return self.unsure(ticket, out);
        }
        self.propose(now, ticket, &LogCommand::Hall(order), out);
    }

    fn propose(&mut self, now: Time, ticket: Ticket, command: &LogCommand, out: &mut Vec<Action>) {
        let command = serde_json::to_vec(command).expect("plain structs become JSON");
        self.next_proposal += 1;
        let id = ProposalId(self.next_proposal);
        self.proposals.insert(id, Waiter { ticket, until: now + CHANGE_TIME });
        self.drive(now, consensus::Event::Propose { id, command }, out);
    }

    fn read(&mut self, now: Time, ticket: Ticket, out: &mut Vec<Action>) {
        let tree = self.state.tree().to_ini();
        let reply = Reply::Tree(TreeReply { version: self.state.version(), tree });
        self.if_sure(now, ticket, reply, out);
    }

    /// Replies where this keeper is sure to lead, so that what it has is the newest there is.
    fn if_sure(&self, now: Time, ticket: Ticket, reply: Reply, out: &mut Vec<Action>) {
        if self.is_sure(now) {
            out.push(Action::Respond(ticket, reply));
        } else {
            self.unsure(ticket, out);
        }
    }

    pub(crate) fn unsure(&self, ticket: Ticket, out: &mut Vec<Action>) {
        let leader = self.replica.leader().cloned();
        out.push(Action::Respond(ticket, Reply::Unsure(leader)));
    }

    fn pull(&mut self, now: Time, ticket: Ticket, request: &PullRequest, out: &mut Vec<Action>) {
        let have = request.have;
        match self.state.since(have) {
            PullReply::Current if self.is_sure(now) => {
                self.pullers.push(Puller { ticket, have, until: now + PULL_TIME });
            }
            newer => self.if_sure(now, ticket, Reply::Pull(newer), out),
        }
    }

    /// Hands an event to the replica and acts on what follows.
    fn drive(&mut self, now: Time, event: consensus::Event, out: &mut Vec<Action>) {
        let mut actions = Vec::new();
        self.replica.handle(now, event, &mut actions);
        for action in actions {
            self.act(now, action, out);
        }
        if self.is_log_long() {
            self.compact(out);
        }
    }

    fn is_log_long(&self) -> bool {
        let many = self.replica.log_len() > COMPACT_AT && self.replica.committed() > 0;
        many || self.replica.committed_bytes() > COMPACT_AT_BYTES
    }

    fn act(&mut self, now: Time, action: consensus::Action, out: &mut Vec<Action>) {
        use consensus::Action as Log;
        match action {
            Log::Store(records) => out.push(Action::Store(records)),
            Log::Rewrite(records) => out.push(Action::Rewrite(records)),
            Log::Send(to, message) => out.push(Action::Send(to, message)),
            Log::Proposed(id, index) => {
                if let Some(waiter) = self.proposals.remove(&id) {
                    self.waiters.insert(index, waiter);
                }
            }
            Log::Refused(id) => {
                if let Some(waiter) = self.proposals.remove(&id) {
                    self.unsure(waiter.ticket, out);
                }
            }
            Log::Commit(entry) => self.commit(now, &entry, out),
            Log::Install(snapshot) => self.install(&snapshot, out),
            Log::News(news) => {
                if matches!(news, consensus::News::StepsDown(_)) {
                    self.give_up_waiters(out);
                }
                out.push(Action::News(News::Log(news)));
            }
        }
    }

    fn commit(&mut self, now: Time, entry: &Entry, out: &mut Vec<Action>) {
        let Payload::Command(bytes) = &entry.payload else { return };
        let before = self.state.version();
        let reply = match serde_json::from_slice::<LogCommand>(bytes) {
            Ok(LogCommand::Change(command)) => Reply::Change(self.state.apply(&command)),
            Ok(LogCommand::Replace(document)) => {
                self.take_document(document, out);
                Reply::Replaced
            }
            Ok(LogCommand::Hall(order)) => {
                if self.state.order_hall(order) {
                    self.halls_changed(out);
                }
                Reply::Halls(self.state.halls().clone())
            }
            Err(_) => return out.push(Action::News(News::Unreadable(entry.index))),
        };
        if let Some(waiter) = self.waiters.remove(&entry.index) {
            out.push(Action::Respond(waiter.ticket, reply));
        }
        if self.state.version() > before {
            out.push(Action::News(News::Version(self.state.version())));
            self.answer_pullers(now, out);
        }
    }

    fn take_document(&mut self, document: Document, out: &mut Vec<Action>) {
        let version = document.version;
        let before = self.state.document().cloned();
        if self.state.replace(document) {
            self.remember_replaced(before);
            out.push(Action::News(News::Document(version)));
            self.tell_watchers(out);
        }
    }

    fn halls_changed(&mut self, out: &mut Vec<Action>) {
        let halls = self.state.halls();
        out.push(Action::News(News::Halls(halls.clone())));
        let ended = self.registry.halls_are(halls.revision);
        self.answer_watchers(ended, out);
    }

    /// Keeps a document for nodes that are in the middle of fetching it.
    fn remember_replaced(&mut self, document: Option<Document>) {
        self.replaced.extend(document);
        if self.replaced.len() > REPLACED_KEPT {
            self.replaced.pop_front();
        }
    }

    fn tell_watchers(&mut self, out: &mut Vec<Action>) {
        let ended = self.registry.document_is(self.state.document_version());
        self.answer_watchers(ended, out);
    }

    /// What is committed here is told whether or not this keeper leads: a node takes the highest
    /// version that it is told.
    fn answer_watchers(&self, ended: Vec<crate::registry::Watcher>, out: &mut Vec<Action>) {
        for watcher in ended {
            let reply = WatchReply {
                version: self.state.document_version(),
                nodes: self.registry.list_news(watcher.revision),
                halls: self.halls_news(watcher.halls),
                peers: self.registry.peers(&watcher),
                keepers: self.replica.voters().to_vec(),
            };
            out.push(Action::Respond(watcher.ticket, Reply::Watch(reply)));
        }
    }

    /// The halls that are emptied, for a node that was told of a revision here.
    fn halls_news(&self, told: u64) -> Option<EmptiedHalls> {
        let halls = self.state.halls();
        (halls.revision > told).then(|| halls.clone())
    }

    fn install(&mut self, snapshot: &Snapshot, out: &mut Vec<Action>) {
        match decode(snapshot) {
            Ok(state) => {
                let before = std::mem::replace(&mut self.state, state);
                self.remember_replaced(before.document().cloned());
                self.tell_watchers(out);
                if before.halls() != self.state.halls() {
                    self.halls_changed(out);
                }
            }
            Err(_) => out.push(Action::News(News::Unreadable(snapshot.index))),
        }
    }

    /// Replaces the log by the state. The replica takes the last committed entry for its end, and
    /// the state has every committed entry.
    fn compact(&mut self, out: &mut Vec<Action>) {
        let mut actions = Vec::new();
        self.replica.compact(encode(&self.state), &mut actions);
        for action in actions {
            if let consensus::Action::Rewrite(records) = action {
                out.push(Action::Rewrite(records));
            }
        }
    }

    /// No longer the leader: what becomes of the changes in hand is for the next one to say.
    pub(crate) fn give_up_waiters(&mut self, out: &mut Vec<Action>) {
        for waiter in std::mem::take(&mut self.waiters).into_values() {
            self.unsure(waiter.ticket, out);
        }
    }

    /// Answers nodes for which there is a newer version, or whose time is over.
    fn answer_pullers(&mut self, now: Time, out: &mut Vec<Action>) {
        for puller in std::mem::take(&mut self.pullers) {
            let newer = self.state.since(puller.have);
            if newer == PullReply::Current && now < puller.until {
                self.pullers.push(puller);
            } else {
                self.if_sure(now, puller.ticket, Reply::Pull(newer), out);
            }
        }
    }

    fn end_waits(&mut self, now: Time, out: &mut Vec<Action>) {
        let before = self.registry.len();
        let ended = self.registry.tick(now);
        if self.registry.len() != before {
            out.push(Action::News(News::Nodes(self.registry.len())));
        }
        self.answer_watchers(ended, out);
        if self.pullers.iter().any(|puller| puller.until <= now) {
            self.answer_pullers(now, out);
        }
        let late = |(_, waiter): &(&Index, &Waiter)| waiter.until <= now;
        let late: Vec<Index> = self.waiters.iter().filter(late).map(|(index, _)| *index).collect();
        for index in late {
            if let Some(waiter) = self.waiters.remove(&index) {
                self.unsure(waiter.ticket, out);
            }
        }
    }
}
