//! The keeper's deciding thread: the state machine and its journal.
//!
//! What a batch of inputs gives to be stored is written with one sync; only then is the rest of
//! what follows from the batch done.

use std::collections::HashMap;

use async_channel::Sender;
use consensus::Message;
use journal::{Journal, JournalError};
use keeper::{Action, CallId, Event, Keeper, Reply, Roster, RosterWork};
use model::{NodeName, Time};
use spdlog::error;

use super::news_lines;
use super::peers::ToPeers;
use super::storage::Storage;
use crate::driver::Decider;
use crate::event_log::EventLog;

/// What reaches the deciding thread.
#[derive(Debug)]
pub(crate) enum Input {
    /// A question of an operator or a node, and where its reply goes.
    Ask(Ask, Sender<Reply>),
    /// Another keeper's message.
    Peer(NodeName, Message),
    /// The process is about to stop: a leader hands over.
    Resign,
    /// The configuration names other keepers.
    Contacts(Vec<NodeName>),
    /// A question for the keeper's status.
    Status(Sender<KeeperStatus>),
}

/// What is asked for.
#[derive(Debug)]
pub(crate) enum Ask {
    /// A change of the tree.
    Change(wire::ChangeRequest),
    /// The tree.
    Read,
    /// The last versions.
    History,
    /// Newer settings.
    Pull(wire::PullRequest),
    /// A whole document for the one in force.
    Replace(wire::Document),
    /// The document in force.
    Fetch,
    /// An order for a hall.
    OrderHall(wire::HallCommand),
    /// Which halls are emptied.
    ReadHalls,
    /// News for a node that registers.
    Watch(wire::WatchRequest),
    /// A part of a document for a node.
    Part(wire::PartRequest),
}

/// What a keeper tells of itself.
#[derive(Clone, Debug, serde::Serialize)]
pub struct KeeperStatus {
    /// Its name.
    pub name: String,
    /// Whether it is sure to lead.
    pub leads: bool,
    /// Whom it takes for the leader.
    pub leader: Option<String>,
    /// Its term.
    pub term: u64,
    /// The last committed entry.
    pub committed: u64,
    /// The version of the tree here.
    pub version: u64,
    /// The version of the document here.
    pub document: u64,
    /// The halls that are emptied, as committed here.
    pub emptied_halls: Vec<String>,
    /// The revision of the last order that changed them.
    pub halls_revision: u64,
    /// Nodes that are registered here.
    pub nodes: usize,
    /// The keepers that vote.
    pub voters: Vec<String>,
    /// Whether it does not vote because it has not caught up.
    pub blank: bool,
    /// Bytes of its journal.
    pub journal_bytes: u64,
    /// Whether its disk has no room: it takes no changes and does not vote until there is.
    pub disk_full: bool,
}

/// The nodes that are remembered, and where what follows from them is done.
pub(super) struct RosterLink {
    pub roster: Roster,
    pub work: Sender<RosterWork>,
}

/// The deciding thread's state.
pub(crate) struct KeeperDecider {
    name: NodeName,
    keeper: Keeper,
    storage: Storage,
    peers: Sender<ToPeers>,
    waiting: HashMap<CallId, Sender<Reply>>,
    next_ticket: u64,
    actions: Vec<Action>,
    /// When the last input or tick came.
    now: Time,
    broken: bool,
    log: Option<EventLog>,
    /// None where nodes are found in another way.
    roster: Option<RosterLink>,
}

impl KeeperDecider {
    pub(crate) fn new(
        name: NodeName,
        keeper: Keeper,
        journal: Journal,
        peers: Sender<ToPeers>,
        log: Option<EventLog>,
        now: Time,
    ) -> Self {
        news_lines::recovered(log.as_ref(), &name, &keeper, journal.bytes());
        let mut decider = Self {
            name,
            keeper,
            storage: Storage::new(journal, now),
            peers,
            waiting: HashMap::new(),
            next_ticket: 0,
            actions: Vec::new(),
            now,
            broken: false,
            log,
            roster: None,
        };
        if decider.storage.is_full() {
            decider.disk_is_full(Vec::new());
        }
        decider
    }

    /// With a roster of nodes.
    pub(super) fn with_roster(self, roster: Option<RosterLink>) -> Self {
        Self { roster, ..self }
    }

    /// Does what is due for the nodes that are remembered.
    fn drive_roster(&mut self) {
        let Some(RosterLink { roster, work }) = &mut self.roster else { return };
        let due = roster.tick(self.now);
        if due != RosterWork::default() {
            // It holds up no decision; what finds no room is a hint that is lost.
            let _ = work.try_send(due);
        }
    }

    fn ask(&mut self, now: Time, ask: Ask, reply: Sender<Reply>) {
        if let (Ask::Watch(request), Some(link)) = (&ask, &mut self.roster) {
            link.roster.record_contact(now, &request.node);
        }
        self.next_ticket += 1;
        let ticket = CallId(self.next_ticket);
        self.waiting.insert(ticket, reply);
        let event = match ask {
            Ask::Change(request) => Event::Change(ticket, request),
            Ask::Read => Event::ReadTree(ticket),
            Ask::History => Event::ReadHistory(ticket),
            Ask::Pull(request) => Event::Pull(ticket, request),
            Ask::Replace(document) => Event::ReplaceDocument(ticket, document),
            Ask::Fetch => Event::ReadDocument(ticket),
            Ask::OrderHall(order) => Event::HallCommand(ticket, order),
            Ask::ReadHalls => Event::ReadHalls(ticket),
            Ask::Watch(request) => Event::Watch(ticket, request),
            Ask::Part(request) => Event::FetchPart(ticket, request),
        };
        self.keeper.handle(now, event, &mut self.actions);
    }

    fn status(&self, now: Time) -> KeeperStatus {
        let replica = self.keeper.replica();
        let halls = self.keeper.state().halls();
        KeeperStatus {
            name: self.name.to_string(),
            leads: self.keeper.is_confirmed_leader(now),
            leader: replica.leader().map(ToString::to_string),
            term: replica.term(),
            committed: replica.committed(),
            version: self.keeper.version(),
            document: self.keeper.state().document_version(),
            emptied_halls: halls.halls.iter().map(ToString::to_string).collect(),
            halls_revision: halls.revision,
            nodes: self.keeper.registered_nodes(),
            voters: replica.voters().iter().map(ToString::to_string).collect(),
            blank: replica.is_blank(),
            journal_bytes: self.storage.bytes(),
            disk_full: self.storage.is_full(),
        }
    }

    /// Stores what is to be stored, syncs once, then does the rest. Where the disk has no room, the rest is
    /// what a keeper without one can do; where it fails, nothing is done and the keeper ends, as what
    /// the disk holds is unknown.
    fn flush(&mut self) {
        if let Err(error) = self.store_again().and_then(|()| self.store_batch()) {
            error!("keeper {}: {}", self.name, error);
            self.broken = true;
        }
    }

    /// Tries to store what a full disk has refused.
    fn store_again(&mut self) -> Result<(), JournalError> {
        if let Some(full_for) = self.storage.store_again(self.now)? {
            self.keeper.disk_is_writable();
            news_lines::disk_has_room(self.log.as_ref(), &self.name, full_for);
        }
        Ok(())
    }

    fn store_batch(&mut self) -> Result<(), JournalError> {
        let actions = std::mem::take(&mut self.actions);
        // The keeper has nothing to store while it knows that its disk is full.
        if !self.storage.is_full() {
            match self.storage.store(self.now, &actions) {
                Err(error) if error.is_full() && !self.keeper.is_only_voter() => {
                    self.disk_is_full(actions);
                    return Ok(());
                }
                stored => stored?,
            }
        }
        self.perform(actions);
        Ok(())
    }

    /// Goes on without the disk, with what was to follow from what it refused.
    fn disk_is_full(&mut self, refused: Vec<Action>) {
        news_lines::disk_full(self.log.as_ref(), &self.name);
        let mut actions = Vec::new();
        self.keeper.disk_is_full(self.now, refused, &mut actions);
        self.perform(actions);
    }

    fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Store(_) | Action::Rewrite(_) => {}
                Action::Send(to, message) => {
                    // A message that finds no room is as one that is lost.
                    let _ = self.peers.try_send(ToPeers::Message(to, message));
                }
                Action::Respond(ticket, reply) => {
                    if let Some(waiting) = self.waiting.remove(&ticket) {
                        // The one who asked may be gone.
                        let _ = waiting.try_send(reply);
                    }
                }
                Action::Log(news) => news_lines::write(self.log.as_ref(), &self.name, &news),
            }
        }
    }
}

impl Decider for KeeperDecider {
    type Input = Input;

    fn input(&mut self, now: Time, input: Input) {
        self.now = now;
        match input {
            Input::Ask(ask, reply) => self.ask(now, ask, reply),
            Input::Peer(from, message) => {
                self.keeper.handle(now, Event::PeerMessage(from, message), &mut self.actions);
            }
            Input::Resign => self.keeper.handle(now, Event::Resign, &mut self.actions),
            Input::Contacts(contacts) => self.keeper.set_contacts(contacts),
            Input::Status(reply) => {
                let _ = reply.try_send(self.status(now));
            }
        }
    }

    fn tick(&mut self, now: Time) {
        self.now = now;
        self.keeper.handle(now, Event::Tick, &mut self.actions);
    }

    fn next_timer(&self) -> Option<Time> {
        let roster = self.roster.as_ref().and_then(|link| link.roster.next_timer());
        let keeper = self.keeper.next_timer();
        keeper.into_iter().chain(self.storage.again_at()).chain(roster).min()
    }

    fn goes_on(&mut self) -> bool {
        self.flush();
        self.drive_roster();
        !self.broken
    }
}
