//! Applies what the replicated log commits to the state, answers the pending calls, notifies the
//! watching nodes and compacts the log.

use consensus::{Entry, Payload, Snapshot};
use model::Time;
use wire::{Document, EmptiedHalls, KeeperNames, WatchReply};

use crate::registry::Watcher;
use crate::{Action, Keeper, KeeperError, LogCommand, LogEvent, Reply, State};

/// Number of log entries above which the log is compacted to a snapshot.
const COMPACT_AT_ENTRIES: usize = 1_000;
/// Size of the committed commands above which the log is compacted as well. A limit on the number
/// of entries alone would let large documents fill the disk.
const COMPACT_AT_BYTES: usize = 8_000_000;
/// Number of replaced documents that nodes can still fetch. A node on a slow link can finish a
/// transfer even if newer versions arrive faster than it fetches them.
const REPLACED_DOCUMENTS_KEPT: usize = 3;

/// Serializes the state for a snapshot.
pub(crate) fn encode_state(state: &State) -> Vec<u8> {
    serde_json::to_vec(state).expect("the value can be serialized as JSON")
}

pub(crate) fn decode_state(snapshot: &Snapshot) -> Result<State, KeeperError> {
    if snapshot.state.is_empty() {
        return Ok(State::default());
    }
    serde_json::from_slice(&snapshot.state).map_err(|_| KeeperError::Snapshot)
}

/// The command of a log entry; `None` if it has none or can't be decoded.
pub(crate) fn decode_command(entry: &Entry) -> Option<LogCommand> {
    let Payload::Command(bytes) = &entry.payload else { return None };
    serde_json::from_slice(bytes).ok()
}

impl Keeper {
    /// Passes an event to the replica and executes the resulting actions.
    pub(crate) fn step_replica(
        &mut self,
        now: Time,
        event: consensus::Event,
        actions: &mut Vec<Action>,
    ) {
        let mut replica_actions = Vec::new();
        self.replica.handle(now, event, &mut replica_actions);
        for action in replica_actions {
            self.execute_action(now, action, actions);
        }
        if self.needs_compaction() {
            self.compact(actions);
        }
    }

    fn needs_compaction(&self) -> bool {
        let many_entries =
            self.replica.log_len() > COMPACT_AT_ENTRIES && self.replica.committed() > 0;
        many_entries || self.replica.committed_bytes() > COMPACT_AT_BYTES
    }

    fn execute_action(&mut self, now: Time, action: consensus::Action, actions: &mut Vec<Action>) {
        use consensus::Action as ReplicaAction;
        match action {
            ReplicaAction::Store(records) => actions.push(Action::Store(records)),
            ReplicaAction::Rewrite(records) => actions.push(Action::Rewrite(records)),
            ReplicaAction::Send(to, message) => actions.push(Action::Send(to, message)),
            ReplicaAction::Proposed(id, index) => {
                if let Some(pending) = self.proposals.remove(&id) {
                    self.pending_changes.insert(index, pending);
                }
            }
            ReplicaAction::Rejected(id) => {
                if let Some(pending) = self.proposals.remove(&id) {
                    self.reply_not_leader(pending.call(), actions);
                }
            }
            ReplicaAction::Commit(entry) => self.apply_entry(now, &entry, actions),
            ReplicaAction::Install(snapshot) => self.install_snapshot(&snapshot, actions),
            ReplicaAction::Log(event) => {
                if matches!(event, consensus::LogEvent::SteppedDown(_)) {
                    self.fail_pending_changes(actions);
                }
                actions.push(Action::Log(LogEvent::Replica(event)));
            }
        }
    }

    pub(crate) fn apply_entry(&mut self, now: Time, entry: &Entry, actions: &mut Vec<Action>) {
        if !matches!(entry.payload, Payload::Command(_)) {
            return;
        }
        let previous = self.state.version();
        let reply = match decode_command(entry) {
            Some(LogCommand::Change(change)) => Reply::Change(self.state.apply_change(&change)),
            Some(LogCommand::Replace(document)) => {
                self.apply_document(document, actions);
                Reply::Replaced
            }
            Some(LogCommand::Hall(command)) => {
                self.hall_history.applied(entry.index, command.hall.clone());
                if self.state.apply_hall_command(command) {
                    self.publish_halls(actions);
                }
                Reply::Halls(self.state.halls().clone())
            }
            None => return actions.push(Action::Log(LogEvent::UnreadableEntry(entry.index))),
        };
        if let Some(pending) = self.pending_changes.remove(&entry.index) {
            actions.push(Action::Respond(pending.call(), reply));
        }
        if self.state.version() > previous {
            actions.push(Action::Log(LogEvent::SettingsVersion(self.state.version())));
            self.answer_pending_pulls(now, actions);
        }
    }

    fn apply_document(&mut self, document: Document, actions: &mut Vec<Action>) {
        let version = document.version;
        let previous = self.state.document().cloned();
        if self.state.replace_document(document) {
            self.keep_replaced_document(previous);
            actions.push(Action::Log(LogEvent::DocumentVersion(version)));
            self.notify_document_watchers(actions);
        }
    }

    fn publish_halls(&mut self, actions: &mut Vec<Action>) {
        let halls = self.state.halls();
        actions.push(Action::Log(LogEvent::EmptiedHalls(halls.clone())));
        let watchers = self.registry.set_halls_revision(halls.revision);
        self.answer_watchers(watchers, actions);
    }

    /// Keeps a replaced document for nodes that are still fetching it.
    fn keep_replaced_document(&mut self, document: Option<Document>) {
        self.replaced_documents.extend(document);
        if self.replaced_documents.len() > REPLACED_DOCUMENTS_KEPT {
            self.replaced_documents.pop_front();
        }
    }

    fn install_snapshot(&mut self, snapshot: &Snapshot, actions: &mut Vec<Action>) {
        match decode_state(snapshot) {
            Ok(state) => {
                let previous = std::mem::replace(&mut self.state, state);
                self.hall_history.snapshot_read(snapshot.index);
                self.keep_replaced_document(previous.document().cloned());
                self.notify_document_watchers(actions);
                if previous.halls() != self.state.halls() {
                    self.publish_halls(actions);
                }
            }
            Err(_) => actions.push(Action::Log(LogEvent::UnreadableEntry(snapshot.index))),
        }
    }

    /// Replaces the committed entries of the log by a snapshot of the state, which has all of them
    /// applied.
    fn compact(&mut self, actions: &mut Vec<Action>) {
        let mut replica_actions = Vec::new();
        self.replica.compact(encode_state(&self.state), &mut replica_actions);
        for action in replica_actions {
            if let consensus::Action::Rewrite(records) = action {
                actions.push(Action::Rewrite(records));
            }
        }
    }

    pub(crate) fn notify_document_watchers(&mut self, actions: &mut Vec<Action>) {
        let watchers = self.registry.set_document_version(self.state.document_version());
        self.answer_watchers(watchers, actions);
    }

    /// Answers watching nodes, whether or not this keeper leads: what is committed here is final,
    /// and nodes keep the highest version that they receive.
    pub(crate) fn answer_watchers(&self, watchers: Vec<Watcher>, actions: &mut Vec<Action>) {
        if watchers.is_empty() {
            return;
        }
        let keepers = KeeperNames(self.replica.voters().to_vec());
        let digest = keepers.digest();
        for watcher in watchers {
            let reply = WatchReply {
                version: self.state.document_version(),
                nodes: self.registry.list_update(watcher.revision),
                halls: self.newer_halls(watcher.halls),
                peers: self.registry.group_size(&watcher),
                keepers: (watcher.keepers != digest).then(|| keepers.clone()),
            };
            actions.push(Action::Respond(watcher.call, Reply::Watch(reply)));
        }
    }

    /// The emptied halls, if they are newer than the revision that a node has.
    fn newer_halls(&self, revision: u64) -> Option<EmptiedHalls> {
        let halls = self.state.halls();
        (halls.revision > revision).then(|| halls.clone())
    }
}
