//! The keeper's state machine: the replicated log with the settings state on top.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use consensus::{Index, ProposalId, Record, RecoverError, Replica, Timing};
use model::{NodeName, Time};
use settings::Tree;
use thiserror::Error;
use wire::{ChangeRequest, Document, HallCommand, HallName, PartRequest, WatchRequest};

use crate::apply::{decode_command, decode_state, encode_state};
use crate::hall_history::HallHistory;
use crate::pending_calls::{HeldHallCommand, PendingChange, PendingPull};
use crate::registry::Registry;
use crate::{
    Action, CallId, Confirmation, Event, LogCommand, LogEvent, Reply, SettingsChange, State,
    TreeReply,
};

/// Maximum number of versions in a history reply.
const HISTORY_VERSIONS_MAX: usize = 100;
/// Default of [`Keeper::set_hall_command_lifetime`].
const HALL_COMMAND_LIFETIME: Duration = Duration::from_secs(5);

/// Why a keeper can't start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum KeeperError {
    /// The journal's records can't be replayed.
    #[error("{0}")]
    Log(#[from] RecoverError),
    /// The state in the journal's snapshot can't be decoded.
    #[error("the state in the journal's snapshot can't be decoded")]
    Snapshot,
}

/// The state of a keeper during one run of its process.
#[derive(Debug)]
pub struct Keeper {
    pub(crate) replica: Replica,
    pub(crate) state: State,
    /// Pending changes by log index. Ordered, so that the order of replies is deterministic.
    pub(crate) pending_changes: BTreeMap<Index, PendingChange>,
    pub(crate) pending_pulls: Vec<PendingPull>,
    /// Pending changes whose log index is not known yet.
    pub(crate) proposals: HashMap<ProposalId, PendingChange>,
    next_proposal: u64,
    pub(crate) hall_history: HallHistory,
    /// Hall commands that wait to be answered that they need a confirmation.
    pub(crate) held_hall_commands: Vec<HeldHallCommand>,
    pub(crate) registry: Registry,
    /// Recently replaced documents, oldest first.
    pub(crate) replaced_documents: VecDeque<Document>,
    /// Whether the disk is full; the replica then receives no events.
    pub(crate) disk_full: bool,
}

/// The journal records that a founding keeper of a new cluster starts with.
pub fn initial_records(members: Vec<NodeName>, tree: Tree) -> Vec<Record> {
    consensus::initial_records(members, encode_state(&State::new(tree)))
}

impl Keeper {
    /// Restores a keeper from its journal records. `seed` randomizes the election timer and the
    /// revisions of the list of nodes.
    pub fn recover(
        name: NodeName,
        records: Vec<Record>,
        timing: Timing,
        seed: u64,
        now: Time,
    ) -> Result<Self, KeeperError> {
        let replica = Replica::recover(name, records, timing, seed, now)?;
        let state = decode_state(replica.snapshot())?;
        let mut keeper = Self {
            replica,
            state,
            pending_changes: BTreeMap::new(),
            pending_pulls: Vec::new(),
            proposals: HashMap::new(),
            next_proposal: 0,
            hall_history: HallHistory::new(now, HALL_COMMAND_LIFETIME),
            held_hall_commands: Vec::new(),
            registry: Registry::new(seed),
            replaced_documents: VecDeque::new(),
            disk_full: false,
        };
        keeper.apply_recovered(now);
        Ok(keeper)
    }

    /// Applies the entries that the journal records as committed, so that nodes are served before
    /// an election. There are no callers yet, so the resulting actions are dropped.
    fn apply_recovered(&mut self, now: Time) {
        self.registry.set_document_version(self.state.document_version());
        self.registry.set_halls_revision(self.state.halls().revision);
        self.hall_history.snapshot_read(self.replica.snapshot().index);
        let mut ignored = Vec::new();
        for entry in self.replica.recovered_entries() {
            self.apply_entry(now, &entry, &mut ignored);
        }
    }

    /// Handles an event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.hall_history.advance(now);
        if self.disk_full {
            self.handle_without_disk(now, event, actions);
        } else {
            self.handle_with_disk(now, event, actions);
        }
        self.expire_pending_calls(now, actions);
    }

    fn handle_with_disk(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Change(call, request) => self.propose_change(now, call, request, actions),
            Event::ReadTree(call) => self.read_tree(now, call, actions),
            Event::ReadHistory(call) => {
                let history = Reply::History(self.state.history(HISTORY_VERSIONS_MAX));
                self.reply_if_leader(now, call, history, actions);
            }
            Event::ReplaceDocument(call, document) => {
                self.propose_document(now, call, document, actions)
            }
            Event::ReadDocument(call) => {
                let reply = Reply::Document(self.state.document().cloned());
                self.reply_if_leader(now, call, reply, actions);
            }
            Event::HallCommand(call, command, confirmation) => {
                self.handle_hall_command(now, call, command, confirmation, actions)
            }
            Event::ReadHalls(call) => {
                let halls = Reply::Halls(self.state.halls().clone());
                self.reply_if_leader(now, call, halls, actions);
            }
            Event::Watch(call, request) => self.register_watcher(now, call, request, actions),
            Event::FetchPart(call, request) => self.reply_with_part(call, request, actions),
            Event::Resign => self.step_replica(now, consensus::Event::Resign, actions),
            Event::Pull(call, request) => self.handle_pull(now, call, &request, actions),
            Event::PeerMessage(from, message) => {
                self.step_replica(now, consensus::Event::Message { from, message }, actions);
            }
            Event::Tick => self.step_replica(now, consensus::Event::Tick, actions),
        }
    }

    pub(crate) fn register_watcher(
        &mut self,
        now: Time,
        call: CallId,
        request: WatchRequest,
        actions: &mut Vec<Action>,
    ) {
        let watchers = self.registry.watch(now, call, request);
        self.answer_watchers(watchers, actions);
    }

    /// Replies with a part of a committed document, whether or not this keeper leads.
    pub(crate) fn reply_with_part(
        &self,
        call: CallId,
        request: PartRequest,
        actions: &mut Vec<Action>,
    ) {
        let documents = self.state.document().into_iter().chain(&self.replaced_documents);
        let part = documents.filter_map(|document| document.part(request)).next();
        actions.push(Action::Respond(call, Reply::Part(part)));
    }

    /// The committed version of the settings tree.
    pub fn version(&self) -> u64 {
        self.state.version()
    }

    /// The committed state.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// The number of nodes registered at this keeper.
    pub fn registered_nodes(&self) -> usize {
        self.registry.len()
    }

    /// Sets the keepers to ask for the leader while this keeper is not a member.
    pub fn set_contacts(&mut self, contacts: Vec<NodeName>) {
        self.replica.set_contacts(contacts);
    }

    /// Sets how long a hall command may be in transit. Within this time after a command for a hall,
    /// the opposite one is accepted only with a confirmation.
    pub fn set_hall_command_lifetime(&mut self, lifetime: Duration) {
        self.hall_history.set_lifetime(lifetime);
    }

    /// Whether this keeper is the confirmed leader and its disk is not full, so that it accepts
    /// changes.
    pub fn is_confirmed_leader(&self, now: Time) -> bool {
        !self.disk_full && self.replica.is_confirmed_leader(now)
    }

    /// The replica of the log.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    fn propose_change(
        &mut self,
        now: Time,
        call: CallId,
        request: ChangeRequest,
        actions: &mut Vec<Action>,
    ) {
        if !self.is_confirmed_leader(now) {
            return self.reply_not_leader(call, actions);
        }
        if let Some(first) = self.state.result(&request.change) {
            return actions.push(Action::Respond(call, Reply::Change(first.clone())));
        }
        let command = LogCommand::Change(SettingsChange { request, accepted_at: now });
        self.propose(now, call, &command, actions);
    }

    /// Proposes a replacement of the document. A version that is not above the committed one
    /// changes nothing and is acknowledged at once.
    fn propose_document(
        &mut self,
        now: Time,
        call: CallId,
        document: Document,
        actions: &mut Vec<Action>,
    ) {
        if !self.is_confirmed_leader(now) {
            return self.reply_not_leader(call, actions);
        }
        if document.version <= self.state.document_version() {
            return actions.push(Action::Respond(call, Reply::Replaced));
        }
        self.propose(now, call, &LogCommand::Replace(document), actions);
    }

    /// Proposes to empty or refill a hall, or has the command confirmed if it may be a late copy.
    /// Hall commands take effect in log order. One that asks for the state that the hall already has
    /// is proposed as well: after it is acknowledged, copies of the opposite command are outdated.
    fn handle_hall_command(
        &mut self,
        now: Time,
        call: CallId,
        command: HallCommand,
        confirmation: Option<Confirmation>,
        actions: &mut Vec<Action>,
    ) {
        if !self.is_confirmed_leader(now) {
            return self.reply_not_leader(call, actions);
        }
        if self.may_be_late_copy(&command, confirmation) {
            actions.push(Action::Log(LogEvent::HallCommandUnconfirmed(command, confirmation)));
            return self.ask_for_confirmation(now, call, confirmation, actions);
        }
        actions.push(Action::Log(LogEvent::HallCommandAccepted(command.clone(), confirmation)));
        self.propose(now, call, &LogCommand::Hall(command), actions);
    }

    /// Whether a hall command that arrives at the confirmed leader may be a late copy with an effect.
    fn may_be_late_copy(&self, command: &HallCommand, confirmation: Option<Confirmation>) -> bool {
        if let Some(last) = self.last_uncommitted_command(&command.hall) {
            return last != *command;
        }
        let takes_work = !self.state.halls().contains(command.hall.as_str());
        let committed = self.replica.committed();
        takes_work != command.takes_work
            && !self.hall_history.is_current(&command.hall, confirmation, committed)
    }

    /// The last command for a hall among the entries of the log that are not committed yet.
    fn last_uncommitted_command(&self, hall: &HallName) -> Option<HallCommand> {
        let entries = self.replica.uncommitted_entries();
        entries.iter().rev().find_map(|entry| match decode_command(entry)? {
            LogCommand::Hall(command) => (command.hall == *hall).then_some(command),
            _ => None,
        })
    }

    fn propose(
        &mut self,
        now: Time,
        call: CallId,
        command: &LogCommand,
        actions: &mut Vec<Action>,
    ) {
        let command = serde_json::to_vec(command).expect("the value can be serialized as JSON");
        self.next_proposal += 1;
        let id = ProposalId(self.next_proposal);
        self.proposals.insert(id, PendingChange::new(now, call));
        self.step_replica(now, consensus::Event::Propose { id, command }, actions);
    }

    fn read_tree(&mut self, now: Time, call: CallId, actions: &mut Vec<Action>) {
        let tree = self.state.tree().to_ini();
        let reply = Reply::Tree(TreeReply { version: self.state.version(), tree });
        self.reply_if_leader(now, call, reply, actions);
    }

    /// Sends the reply only if this keeper is the confirmed leader, so that callers never read an
    /// outdated state.
    pub(crate) fn reply_if_leader(
        &self,
        now: Time,
        call: CallId,
        reply: Reply,
        actions: &mut Vec<Action>,
    ) {
        if self.is_confirmed_leader(now) {
            actions.push(Action::Respond(call, reply));
        } else {
            self.reply_not_leader(call, actions);
        }
    }

    pub(crate) fn reply_not_leader(&self, call: CallId, actions: &mut Vec<Action>) {
        let leader = self.replica.leader().cloned();
        actions.push(Action::Respond(call, Reply::NotLeader(leader)));
    }
}
