//! Applies what the replicated log commits to the state, answers the pending calls, notifies the
//! watching nodes and compacts the log.

use consensus::{Entry, Payload, Snapshot};
use model::Time;
use wire::{Document, EmptiedHalls, KeeperNames, WatchReply};

use crate::registry::Watcher;
use crate::{Action, Keeper, KeeperError, LogCommand, News, Reply, State};

/// Number of log entries above which the log is compacted to a snapshot.
const COMPACT_AT: usize = 1_000;
/// Size of the committed commands above which the log is compacted as well. A limit on the number
/// of entries alone would let large documents fill the disk.
const COMPACT_AT_BYTES: usize = 8_000_000;
/// Number of replaced documents that nodes can still fetch. A node on a slow link can finish a
/// transfer even if newer versions arrive faster than it fetches them.
const REPLACED_KEPT: usize = 3;

/// Serializes the state for a snapshot.
pub(crate) fn encode(state: &State) -> Vec<u8> {
    serde_json::to_vec(state).expect("plain structs become JSON")
}

pub(crate) fn decode(snapshot: &Snapshot) -> Result<State, KeeperError> {
    if snapshot.state.is_empty() {
        return Ok(State::default());
    }
    serde_json::from_slice(&snapshot.state).map_err(|_| KeeperError::Snapshot)
}

impl Keeper {
    /// Passes an event to the replica and performs the resulting actions.
    pub(crate) fn drive(&mut self, now: Time, event: consensus::Event, out: &mut Vec<Action>) {
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
            Log::Rejected(id) => {
                if let Some(waiter) = self.proposals.remove(&id) {
                    self.unsure(waiter.ticket(), out);
                }
            }
            Log::Commit(entry) => self.commit(now, &entry, out),
            Log::Install(snapshot) => self.install(&snapshot, out),
            Log::Log(news) => {
                if matches!(news, consensus::LogEvent::SteppedDown(_)) {
                    self.give_up_waiters(out);
                }
                out.push(Action::News(News::Log(news)));
            }
        }
    }

    pub(crate) fn commit(&mut self, now: Time, entry: &Entry, out: &mut Vec<Action>) {
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
            out.push(Action::Respond(waiter.ticket(), reply));
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

    /// Keeps a replaced document for nodes that are still fetching it.
    fn remember_replaced(&mut self, document: Option<Document>) {
        self.replaced.extend(document);
        if self.replaced.len() > REPLACED_KEPT {
            self.replaced.pop_front();
        }
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

    /// Replaces the log by a snapshot of the state. Both end at the last committed entry.
    fn compact(&mut self, out: &mut Vec<Action>) {
        let mut actions = Vec::new();
        self.replica.compact(encode(&self.state), &mut actions);
        for action in actions {
            if let consensus::Action::Rewrite(records) = action {
                out.push(Action::Rewrite(records));
            }
        }
    }

    pub(crate) fn tell_watchers(&mut self, out: &mut Vec<Action>) {
        let ended = self.registry.document_is(self.state.document_version());
        self.answer_watchers(ended, out);
    }

    /// Answers watching nodes, whether or not this keeper leads: what is committed here is final,
    /// and nodes keep the highest version that they receive.
    pub(crate) fn answer_watchers(&self, ended: Vec<Watcher>, out: &mut Vec<Action>) {
        if ended.is_empty() {
            return;
        }
        let keepers = KeeperNames(self.replica.voters().to_vec());
        let digest = keepers.digest();
        for watcher in ended {
            let reply = WatchReply {
                version: self.state.document_version(),
                nodes: self.registry.list_news(watcher.revision),
                halls: self.halls_news(watcher.halls),
                peers: self.registry.peers(&watcher),
                keepers: (watcher.keepers != digest).then(|| keepers.clone()),
            };
            out.push(Action::Respond(watcher.ticket, Reply::Watch(reply)));
        }
    }

    /// The emptied halls, if they are newer than the revision that a node has.
    fn halls_news(&self, told: u64) -> Option<EmptiedHalls> {
        let halls = self.state.halls();
        (halls.revision > told).then(|| halls.clone())
    }
}
