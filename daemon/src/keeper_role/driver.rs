//! Drives the keeper state machine and writes its journal.
//!
//! The records of a batch of inputs are written with one sync; the batch's messages and replies are
//! sent only afterwards.

use std::collections::HashMap;

use async_channel::Sender;
use consensus::Message;
use journal::{Journal, JournalError};
use keeper::{Action, CallId, Confirmation, Event, Keeper, LogEvent, Reply, Roster, RosterWork};
use model::{NodeName, Time};
use spdlog::error;

use super::log_lines;
use super::peers::PeersInput;
use super::storage::Storage;
use crate::event_log::EventLog;
use crate::event_loop::Driver;

/// An input of the state machine's thread.
#[derive(Debug)]
pub(crate) enum Input {
    /// A request of an operator or a node, and the receiver of its reply.
    Request(KeeperRequest, Sender<Reply>),
    /// A message of another keeper.
    Peer(NodeName, Message),
    /// The process is about to stop, so that a leader transfers leadership.
    Resign,
    /// The configured keepers changed.
    Contacts(Vec<NodeName>),
    /// A request for the keeper's status.
    Status(Sender<KeeperStatus>),
}

/// A request of an operator or a node.
#[derive(Debug)]
pub(crate) enum KeeperRequest {
    /// Change the settings tree.
    Change(wire::ChangeRequest),
    /// Read the settings tree.
    ReadTree,
    /// Read the most recent versions of the tree.
    ReadHistory,
    /// Wait for settings newer than the node's.
    Pull(wire::PullRequest),
    /// Replace the current document.
    ReplaceDocument(wire::Document),
    /// Read the current document.
    ReadDocument,
    /// Empty or refill a hall, with a confirmation if the sender was asked for one.
    HallCommand(wire::HallCommand, Option<Confirmation>),
    /// Read which halls are emptied.
    ReadHalls,
    /// Register a node and wait for changes.
    Watch(wire::WatchRequest),
    /// Fetch a part of a document for a node.
    FetchPart(wire::PartRequest),
}

/// The status of a keeper, served to operators as JSON.
#[derive(Clone, Debug, serde::Serialize)]
pub struct KeeperStatus {
    /// The keeper's name.
    pub name: String,
    /// Whether the keeper is the confirmed leader.
    pub leads: bool,
    /// The leader known to the keeper, if any.
    pub leader: Option<String>,
    /// The current term.
    pub term: u64,
    /// The index of the last committed log entry.
    pub committed: u64,
    /// The version of the settings tree on this keeper.
    pub version: u64,
    /// The version of the document on this keeper.
    pub document: u64,
    /// The emptied halls in the state committed on this keeper.
    pub emptied_halls: Vec<String>,
    /// The revision of the last command that changed the emptied halls.
    pub halls_revision: u64,
    /// The number of hall commands whose senders this process asked for a confirmation.
    pub unconfirmed_hall_commands: u64,
    /// The number of nodes registered with this keeper.
    pub nodes: usize,
    /// The voting keepers of the cluster.
    pub voters: Vec<String>,
    /// Whether the keeper does not vote because it has not caught up yet.
    pub blank: bool,
    /// The size of the journal, in bytes.
    pub journal_bytes: u64,
    /// Whether the disk is full, so that the keeper neither accepts changes nor votes.
    pub disk_full: bool,
}

/// The roster of known nodes, and the channel to the thread that does its work.
pub(super) struct RosterLink {
    pub roster: Roster,
    pub work: Sender<RosterWork>,
}

/// The keeper state machine with its journal, pending calls and outputs.
pub(crate) struct KeeperDriver {
    name: NodeName,
    keeper: Keeper,
    storage: Storage,
    peers: Sender<PeersInput>,
    pending_calls: HashMap<CallId, Sender<Reply>>,
    next_call: u64,
    actions: Vec<Action>,
    /// The time of the last input or tick.
    now: Time,
    journal_failed: bool,
    unconfirmed_hall_commands: u64,
    log: Option<EventLog>,
    /// `None` unless nodes schedule by capacity.
    roster: Option<RosterLink>,
}

impl KeeperDriver {
    pub(crate) fn new(
        name: NodeName,
        keeper: Keeper,
        journal: Journal,
        peers: Sender<PeersInput>,
        log: Option<EventLog>,
        now: Time,
    ) -> Self {
        log_lines::log_recovery(log.as_ref(), &name, &keeper, journal.synced_bytes());
        let mut driver = Self {
            name,
            keeper,
            storage: Storage::new(journal, now),
            peers,
            pending_calls: HashMap::new(),
            next_call: 0,
            actions: Vec::new(),
            now,
            journal_failed: false,
            unconfirmed_hall_commands: 0,
            log,
            roster: None,
        };
        if driver.storage.is_full() {
            driver.disk_is_full(Vec::new());
        }
        driver
    }

    /// Sets the roster of known nodes.
    pub(super) fn with_roster(self, roster: Option<RosterLink>) -> Self {
        Self { roster, ..self }
    }

    /// Passes the roster's due work to the roster thread.
    fn run_due_roster_work(&mut self) {
        let Some(RosterLink { roster, work }) = &mut self.roster else { return };
        let due = roster.tick(self.now);
        if due != RosterWork::default() {
            // Best effort: if the channel is full the work is dropped, as it only serves as a hint.
            let _ = work.try_send(due);
        }
    }

    fn submit(&mut self, now: Time, request: KeeperRequest, reply: Sender<Reply>) {
        if let (KeeperRequest::Watch(request), Some(link)) = (&request, &mut self.roster) {
            link.roster.record_contact(now, &request.node);
        }
        self.next_call += 1;
        let call = CallId(self.next_call);
        self.pending_calls.insert(call, reply);
        let event = match request {
            KeeperRequest::Change(request) => Event::Change(call, request),
            KeeperRequest::ReadTree => Event::ReadTree(call),
            KeeperRequest::ReadHistory => Event::ReadHistory(call),
            KeeperRequest::Pull(request) => Event::Pull(call, request),
            KeeperRequest::ReplaceDocument(document) => Event::ReplaceDocument(call, document),
            KeeperRequest::ReadDocument => Event::ReadDocument(call),
            KeeperRequest::HallCommand(command, confirmation) => {
                Event::HallCommand(call, command, confirmation)
            }
            KeeperRequest::ReadHalls => Event::ReadHalls(call),
            KeeperRequest::Watch(request) => Event::Watch(call, request),
            KeeperRequest::FetchPart(request) => Event::FetchPart(call, request),
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
            unconfirmed_hall_commands: self.unconfirmed_hall_commands,
            nodes: self.keeper.registered_nodes(),
            voters: replica.voters().iter().map(ToString::to_string).collect(),
            blank: replica.is_blank(),
            journal_bytes: self.storage.bytes(),
            disk_full: self.storage.is_full(),
        }
    }

    /// Writes the records of the batch with one sync, then executes its other actions. If the disk
    /// is full, executes only the actions possible without it. On any other journal error executes
    /// none and ends the keeper, as the content of the disk is unknown. A single keeper ends on a
    /// full disk too, as no other keeper can replace it.
    fn flush(&mut self) {
        if let Err(error) = self.retry_store().and_then(|()| self.store_and_execute()) {
            error!("keeper {}: {}", self.name, error);
            self.journal_failed = true;
        }
    }

    /// Retries the write that failed on a full disk.
    fn retry_store(&mut self) -> Result<(), JournalError> {
        if let Some(full_for) = self.storage.retry_store(self.now)? {
            self.keeper.disk_is_writable();
            log_lines::log_disk_writable(self.log.as_ref(), &self.name, full_for);
        }
        Ok(())
    }

    fn store_and_execute(&mut self) -> Result<(), JournalError> {
        let actions = std::mem::take(&mut self.actions);
        // The keeper stores nothing while it knows that its disk is full.
        if !self.storage.is_full() {
            match self.storage.store(self.now, &actions) {
                Err(error) if error.is_full() && !self.keeper.is_only_voter() => {
                    self.disk_is_full(actions);
                    return Ok(());
                }
                stored => stored?,
            }
        }
        self.execute(actions);
        Ok(())
    }

    /// Passes the refused actions back to the keeper, which continues without writing.
    fn disk_is_full(&mut self, refused: Vec<Action>) {
        log_lines::log_disk_full(self.log.as_ref(), &self.name);
        let mut actions = Vec::new();
        self.keeper.disk_is_full(self.now, refused, &mut actions);
        self.execute(actions);
    }

    fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Store(_) | Action::Rewrite(_) => {}
                Action::Send(to, message) => {
                    // Messages that do not fit into the channel are dropped; the protocol tolerates
                    // losses.
                    let _ = self.peers.try_send(PeersInput::Message(to, message));
                }
                Action::Respond(call, reply) => {
                    if let Some(caller) = self.pending_calls.remove(&call) {
                        // Fails only if the requester has stopped waiting.
                        let _ = caller.try_send(reply);
                    }
                }
                Action::Log(event) => {
                    if matches!(event, LogEvent::HallCommandUnconfirmed(..)) {
                        self.unconfirmed_hall_commands += 1;
                    }
                    log_lines::log_event(self.log.as_ref(), &self.name, &event);
                }
            }
        }
    }
}

impl Driver for KeeperDriver {
    type Input = Input;

    fn handle_input(&mut self, now: Time, input: Input) {
        self.now = now;
        match input {
            Input::Request(request, reply) => self.submit(now, request, reply),
            Input::Peer(from, message) => {
                self.keeper.handle(now, Event::PeerMessage(from, message), &mut self.actions);
            }
            Input::Resign => self.keeper.handle(now, Event::Resign, &mut self.actions),
            Input::Contacts(contacts) => self.keeper.set_contacts(contacts),
            Input::Status(reply) => {
                // Fails only if the requester has stopped waiting.
                let _ = reply.try_send(self.status(now));
            }
        }
    }

    fn handle_tick(&mut self, now: Time) {
        self.now = now;
        self.keeper.handle(now, Event::Tick, &mut self.actions);
    }

    fn next_timer(&self) -> Option<Time> {
        let roster = self.roster.as_ref().and_then(|link| link.roster.next_timer());
        let keeper = self.keeper.next_timer();
        keeper.into_iter().chain(self.storage.retry_at()).chain(roster).min()
    }

    fn end_batch(&mut self) -> bool {
        self.flush();
        self.run_due_roster_work();
        !self.journal_failed
    }
}
