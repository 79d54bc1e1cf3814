//! The keeper's deciding thread: the state machine and its journal.
//!
//! What a batch of inputs gives to be stored is written with one sync; only then is the rest of
//! what follows from the batch done.

use std::collections::HashMap;
use std::path::Path;
use std::time::Duration;

use async_channel::Sender;
use consensus::{Message, Record};
use journal::{Disk, Journal, JournalError};
use keeper::{Action, Event, Keeper, News, Reply, Ticket};
use model::{NodeName, Time};
use serde_json::json;
use spdlog::{error, info, warn};

use super::KeeperError;
use super::news_lines;
use super::peers::ToPeers;
use crate::driver::Decider;
use crate::event_log::{Budget, EventLog};

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
    /// News for a node that registers.
    Watch(wire::WatchRequest),
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

/// From one try to store what a full disk refused to the next: room is made by hand or by other programs, in
/// seconds; a try costs a write of what waits.
const STORE_AGAIN: Duration = Duration::from_millis(100);

/// A disk without room, on which something waits to be stored.
#[derive(Clone, Copy, Debug)]
struct FullDisk {
    since: Time,
    again_at: Time,
}

/// The deciding thread's state.
pub(crate) struct KeeperDecider {
    name: NodeName,
    keeper: Keeper,
    journal: Journal,
    peers: Sender<ToPeers>,
    waiting: HashMap<Ticket, Sender<Reply>>,
    next_ticket: u64,
    actions: Vec<Action>,
    /// When the last input or tick came.
    now: Time,
    full_disk: Option<FullDisk>,
    broken: bool,
    log: Option<EventLog>,
}

/// Reads a keeper's journal.
pub(crate) fn read_journal(
    path: &Path,
    disk: Disk,
) -> Result<(Journal, Vec<Record>, u64), KeeperError> {
    let opened = Journal::open_on(path, disk)?;
    let mut records = Vec::with_capacity(opened.records.len());
    for (number, bytes) in opened.records.iter().enumerate() {
        let record = bincode::deserialize(bytes).map_err(|_| KeeperError::BadRecord(number))?;
        records.push(record);
    }
    Ok((opened.journal, records, opened.cut))
}

/// A record's bytes in the journal.
pub(crate) fn write_record(record: &Record) -> Vec<u8> {
    bincode::serialize(record).expect("plain structs become bincode")
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
        match &log {
            Some(log) => log.line("recovered", Budget::Full, || {
                let replica = keeper.replica();
                let document = keeper.state().document_version();
                let (term, committed) = (replica.term(), replica.committed());
                json!({"document": document, "term": term, "committed": committed,
                    "blank": replica.is_blank(), "journal_bytes": journal.bytes()})
            }),
            None => info!("keeper {}: settings {} recovered", name, keeper.version()),
        }
        let mut decider = Self {
            name,
            keeper,
            journal,
            peers,
            waiting: HashMap::new(),
            next_ticket: 0,
            actions: Vec::new(),
            now,
            full_disk: None,
            broken: false,
            log,
        };
        if !decider.journal.is_settled() {
            decider.disk_is_full(Vec::new());
        }
        decider
    }

    fn ask(&mut self, now: Time, ask: Ask, reply: Sender<Reply>) {
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        self.waiting.insert(ticket, reply);
        let event = match ask {
            Ask::Change(request) => Event::Change(ticket, request),
            Ask::Read => Event::Read(ticket),
            Ask::History => Event::History(ticket),
            Ask::Pull(request) => Event::Pull(ticket, request),
            Ask::Replace(document) => Event::Replace(ticket, document),
            Ask::Fetch => Event::Fetch(ticket),
            Ask::Watch(request) => Event::Watch(ticket, request),
        };
        self.keeper.handle(now, event, &mut self.actions);
    }

    fn status(&self, now: Time) -> KeeperStatus {
        let replica = self.keeper.replica();
        KeeperStatus {
            name: self.name.to_string(),
            leads: self.keeper.is_sure(now),
            leader: replica.leader().map(ToString::to_string),
            term: replica.term(),
            committed: replica.committed(),
            version: self.keeper.version(),
            document: self.keeper.state().document_version(),
            nodes: self.keeper.registered(),
            voters: replica.voters().iter().map(ToString::to_string).collect(),
            blank: replica.is_blank(),
            journal_bytes: self.journal.bytes(),
            disk_full: self.full_disk.is_some(),
        }
    }

    /// Stores what is to be stored, syncs once, then does the rest. Where the disk has no room, the rest is
    /// what a keeper without one can do; where it fails, nothing is done and the keeper ends, as what
    /// the disk holds is unknown.
    fn flush(&mut self) {
        if self.full_disk.is_some_and(|full| full.again_at <= self.now) {
            self.store_again();
        }
        let actions = std::mem::take(&mut self.actions);
        if self.full_disk.is_some() {
            return self.perform(actions);
        }
        match self.store(&actions) {
            Ok(()) => self.perform(actions),
            Err(error) if error.is_full() && !self.keeper.votes_alone() => {
                self.disk_is_full(actions);
            }
            Err(error) => self.fail(&error),
        }
    }

    fn fail(&mut self, error: &JournalError) {
        error!("keeper {}: {}", self.name, error);
        self.broken = true;
    }

    /// Goes on without the disk, with what was to follow from what it refused.
    fn disk_is_full(&mut self, refused: Vec<Action>) {
        let (since, again_at) = (self.now, self.now + STORE_AGAIN);
        self.full_disk = Some(FullDisk { since, again_at });
        news_lines::disk_full(self.log.as_ref(), &self.name);
        let mut actions = Vec::new();
        self.keeper.disk_is_full(self.now, refused, &mut actions);
        self.perform(actions);
    }

    /// Tries to store what the disk has refused.
    fn store_again(&mut self) {
        let Some(full) = &mut self.full_disk else { return };
        full.again_at = self.now + STORE_AGAIN;
        let since = full.since;
        match self.journal.sync() {
            Ok(()) => {
                self.full_disk = None;
                self.keeper.disk_has_room();
                news_lines::disk_has_room(self.log.as_ref(), &self.name, self.now.since(since));
            }
            Err(error) if error.is_full() => {}
            Err(error) => self.fail(&error),
        }
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
                Action::News(news) => match &self.log {
                    Some(log) => news_lines::write(log, &news),
                    None => self.log(&news),
                },
            }
        }
    }

    fn store(&mut self, actions: &[Action]) -> Result<(), JournalError> {
        for action in actions {
            match action {
                Action::Store(records) => {
                    records.iter().for_each(|record| self.journal.append(&write_record(record)));
                }
                Action::Rewrite(records) => {
                    let records: Vec<Vec<u8>> = records.iter().map(write_record).collect();
                    self.journal.replace(&records);
                }
                _ => {}
            }
        }
        self.journal.sync()
    }

    fn log(&self, news: &News) {
        use consensus::News as Log;
        let name = &self.name;
        match news {
            News::Log(Log::Leads(term)) => info!("keeper {}: leads in term {}", name, term),
            News::Log(Log::StepsDown(term)) => {
                warn!("keeper {}: steps down in term {}", name, term);
            }
            News::Log(Log::Follows(leader, term)) => {
                info!("keeper {}: follows {} in term {}", name, leader, term);
            }
            News::Log(Log::CaughtUp(index)) => {
                info!("keeper {}: caught up to entry {}, votes from now on", name, index);
            }
            News::Log(Log::Violation(violation)) => {
                error!("keeper {}: BREACH: {}", name, violation);
            }
            News::Log(Log::Members(members)) => {
                info!("keeper {}: {} keepers vote", name, members.len());
            }
            News::Document(version) => info!("keeper {}: document {} accepted", name, version),
            News::Nodes(count) => info!("keeper {}: {} nodes are registered", name, count),
            News::Version(version) => info!("keeper {}: settings {} accepted", name, version),
            News::Unreadable(index) => {
                error!("keeper {}: entry {} can't be read", name, index);
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
                self.keeper.handle(now, Event::Peer(from, message), &mut self.actions);
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
        let again = self.full_disk.as_ref().map(|full| full.again_at);
        self.keeper.next_timer().into_iter().chain(again).min()
    }

    fn goes_on(&mut self) -> bool {
        self.flush();
        !self.broken
    }
}
