//! The nodes registered at this keeper, and those of them that wait for updates.
//!
//! The list is soft state: every node registers repeatedly at every keeper it knows, so a keeper
//! that has just started soon has the complete list. Nodes are sent only the entries, as no node
//! looks up agents.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use model::{NodeName, Time};
use wire::{NodeInfo, NodeList, NodeListDelta, NodeListUpdate, NodeRole, WatchRequest};

use crate::CallId;

/// Maximum time until a waiting node is answered; it then asks again at once.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time without a request after which a node is removed.
const NODE_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Delay between the first change of the list and its notification, so that nodes which start
/// together cause one notification.
const NOTIFY_DELAY: Duration = Duration::from_millis(50);
/// Number of changes kept per registered entry; a restart makes two. A node that has missed more
/// receives the whole list.
const CHANGES_KEPT_PER_ENTRY: usize = 5;
/// Number of low bits of a revision that count changes; the high bits hold the seed and so differ
/// between starts of the keeper.
const REVISION_BITS: u32 = 24;

/// Nodes with the same role and service.
type Group = (NodeRole, Arc<str>);

/// A node that waits for updates.
#[derive(Clone, Debug)]
pub(crate) struct Watcher {
    pub call: CallId,
    /// The node's group.
    pub group: Group,
    /// The document version that the node has.
    document: u64,
    /// The revision of the emptied halls that the node has.
    pub halls: u64,
    /// The revision of the list that the node has; `None` if it takes the list from other keepers.
    pub revision: Option<u64>,
    /// The digest of the keeper names that the node has.
    pub keepers: u64,
}

/// The registered nodes and the waiting ones.
#[derive(Debug)]
pub(crate) struct Registry {
    nodes: BTreeMap<NodeName, (NodeInfo, Time)>,
    /// The number of nodes in each group.
    group_sizes: BTreeMap<Group, u32>,
    revision: u64,
    /// The entry that each of the last revisions changed, oldest first.
    changes: VecDeque<NodeName>,
    /// The version of the committed document.
    document_version: u64,
    /// The revision of the emptied halls.
    halls_revision: u64,
    /// The waiting nodes, ordered by deadline so that expired ones are found without a scan.
    watchers: BTreeMap<(Time, CallId), Watcher>,
    /// No node expires before this time; `None` if no node is registered.
    next_expiry_at: Option<Time>,
    /// When the watchers are notified of a changed list.
    notify_at: Option<Time>,
}

impl Registry {
    pub fn new(seed: u64) -> Self {
        let revision = (seed << REVISION_BITS) | 1;
        Self {
            nodes: BTreeMap::new(),
            group_sizes: BTreeMap::new(),
            revision,
            changes: VecDeque::new(),
            document_version: 0,
            halls_revision: 0,
            watchers: BTreeMap::new(),
            next_expiry_at: None,
            notify_at: None,
        }
    }

    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Registers a node. Returns it as a watcher to answer at once if it is outdated.
    pub fn watch(&mut self, now: Time, call: CallId, request: WatchRequest) -> Vec<Watcher> {
        let WatchRequest { node, document, revision, halls, keepers } = request;
        let group = group_of(&node);
        let previous =
            self.nodes.insert(node.name.clone(), (node.clone(), now)).map(|(node, _)| node);
        if previous.as_ref() != Some(&node) {
            *self.group_sizes.entry(group.clone()).or_default() += 1;
            let was_entry = previous.is_some_and(|node| self.leave_group(&node));
            if was_entry || node.role == NodeRole::Entry {
                self.record_change(now, node.name.clone());
            }
        }
        self.next_expiry_at.get_or_insert(now + NODE_TIMEOUT);
        let watcher = Watcher { call, group, document, halls, revision, keepers };
        let list_due = self.notify_at.is_none() && is_list_outdated(revision, self.revision);
        if document < self.document_version || halls < self.halls_revision || list_due {
            return vec![watcher];
        }
        self.watchers.insert((now + WATCH_TIMEOUT, call), watcher);
        Vec::new()
    }

    /// Sets the document version; returns the watchers to answer.
    pub fn set_document_version(&mut self, version: u64) -> Vec<Watcher> {
        self.document_version = version;
        self.take_matching(|watcher| watcher.document < version)
    }

    /// Sets the revision of the emptied halls; returns the watchers to answer.
    pub fn set_halls_revision(&mut self, revision: u64) -> Vec<Watcher> {
        self.halls_revision = revision;
        self.take_matching(|watcher| watcher.halls < revision)
    }

    /// Checks the timers; returns the watchers to answer.
    pub fn tick(&mut self, now: Time) -> Vec<Watcher> {
        self.expire_nodes(now);
        let mut expired = self.take_expired(now);
        if self.notify_at.is_some_and(|at| at <= now) {
            self.notify_at = None;
            let revision = self.revision;
            expired
                .extend(self.take_matching(|watcher| is_list_outdated(watcher.revision, revision)));
        }
        expired
    }

    /// Removes nodes that have been silent for too long.
    fn expire_nodes(&mut self, now: Time) {
        if self.next_expiry_at.is_none_or(|at| now < at) {
            return;
        }
        let expired: Vec<NodeInfo> = self
            .nodes
            .values()
            .filter(|(_, last_contact)| now.since(*last_contact) >= NODE_TIMEOUT)
            .map(|(node, _)| node.clone())
            .collect();
        for node in expired {
            self.nodes.remove(&node.name);
            if self.leave_group(&node) {
                self.record_change(now, node.name);
            }
        }
        let oldest_contact = self.nodes.values().map(|(_, last_contact)| *last_contact).min();
        self.next_expiry_at = oldest_contact.map(|last_contact| last_contact + NODE_TIMEOUT);
    }

    /// Removes and returns the watchers whose deadline has passed.
    fn take_expired(&mut self, now: Time) -> Vec<Watcher> {
        let mut expired = Vec::new();
        while let Some(first) = self.watchers.first_entry()
            && first.key().0 <= now
        {
            expired.push(first.remove());
        }
        expired
    }

    /// When the next tick is due; `None` if nothing is scheduled.
    pub fn next_timer(&self) -> Option<Time> {
        let first = self.watchers.first_key_value().map(|((deadline, _), _)| *deadline);
        first.into_iter().chain(self.notify_at).min()
    }

    /// The update of the list for a node that has this revision: the changes since then, or the
    /// whole list if some of them are no longer kept. `None` if the node is up to date or takes the
    /// list from other keepers.
    pub fn list_update(&self, revision: Option<u64>) -> Option<NodeListUpdate> {
        let revision = revision.filter(|revision| *revision != self.revision)?;
        // A revision from an earlier start of this keeper differs in the high bits, so the
        // difference exceeds the number of kept changes.
        let missed = self.revision.checked_sub(revision).and_then(|n| usize::try_from(n).ok());
        let available = missed.filter(|missed| *missed <= self.changes.len());
        Some(available.map_or_else(
            || NodeListUpdate::Snapshot(self.list()),
            |missed| self.last_changes(missed),
        ))
    }

    fn list(&self) -> NodeList {
        let nodes = self.nodes.values().map(|(node, _)| node);
        let entries = nodes.filter(|node| node.role == NodeRole::Entry).cloned().collect();
        NodeList { revision: self.revision, nodes: entries }
    }

    fn last_changes(&self, count: usize) -> NodeListUpdate {
        let changed: BTreeSet<&NodeName> = self.changes.iter().rev().take(count).collect();
        let mut delta =
            NodeListDelta { revision: self.revision, upserted: vec![], removed: vec![] };
        for name in changed {
            match self.nodes.get(name).filter(|(node, _)| node.role == NodeRole::Entry) {
                Some((node, _)) => delta.upserted.push(node.clone()),
                None => delta.removed.push(name.clone()),
            }
        }
        NodeListUpdate::Delta(delta)
    }

    /// The number of nodes in the watcher's group.
    pub fn group_size(&self, watcher: &Watcher) -> u32 {
        self.group_sizes.get(&watcher.group).copied().unwrap_or(0)
    }

    /// The number of registered entries.
    fn entry_count(&self) -> usize {
        let entry_groups =
            self.group_sizes.iter().filter(|((role, _), _)| *role == NodeRole::Entry);
        entry_groups.map(|(_, size)| *size as usize).sum()
    }

    /// Removes a node from its group; returns whether it was an entry.
    fn leave_group(&mut self, node: &NodeInfo) -> bool {
        if let Some(size) = self.group_sizes.get_mut(&group_of(node)) {
            *size = size.saturating_sub(1);
        }
        node.role == NodeRole::Entry
    }

    fn record_change(&mut self, now: Time, entry: NodeName) {
        self.revision += 1;
        self.changes.push_back(entry);
        let limit = CHANGES_KEPT_PER_ENTRY * self.entry_count().max(1);
        while self.changes.len() > limit {
            self.changes.pop_front();
        }
        self.notify_at.get_or_insert(now + NOTIFY_DELAY);
    }

    fn take_matching(&mut self, matches: impl Fn(&Watcher) -> bool) -> Vec<Watcher> {
        let matching = self.watchers.iter().filter(|(_, watcher)| matches(watcher));
        let matching: Vec<(Time, CallId)> = matching.map(|(key, _)| *key).collect();
        matching.iter().filter_map(|key| self.watchers.remove(key)).collect()
    }
}

/// Whether a node that has this revision of the list needs an update; a node with `None` never
/// does.
fn is_list_outdated(revision: Option<u64>, newest: u64) -> bool {
    revision.is_some_and(|revision| revision != newest)
}

fn group_of(node: &NodeInfo) -> Group {
    (node.role, node.service.clone())
}
