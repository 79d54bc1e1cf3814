//! The nodes that are registered at this keeper, and those of them that wait for news.
//!
//! The list is soft state: every node registers at every keeper it knows, again and again, so that
//! a keeper which has just started has the whole list within a second.
//!
//! Only entries are told of, and only when they change: most changes are of agents, which nobody looks for. A node that has an
//! earlier list is told what has changed since, as rows and nodes both grow with the fleet.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use model::{NodeName, Time};
use wire::{ListChange, ListNews, NodeInfo, NodeList, NodeRole, WatchRequest};

use crate::Ticket;

/// How long a node waits for news; it asks again at once.
const WATCH_TIME: Duration = Duration::from_millis(1_000);
/// A node that has not asked for so long is no longer listed.
const EXPIRY: Duration = Duration::from_millis(4_000);
/// A changed list is told this long after the first change, so that nodes which start together
/// are told of together.
const GATHER: Duration = Duration::from_millis(50);
/// Changes of the list that are remembered for each entry in it: a restart is two. A node that has missed more is told
/// the whole list.
const CHANGES_KEPT_PER_ENTRY: usize = 5;
/// Bits of a revision that count up; the others tell the keeper's lives apart.
const REVISION_BITS: u32 = 24;

/// Nodes that do the same.
type Group = (NodeRole, Arc<str>);

/// A node that waits.
#[derive(Clone, Debug)]
pub(crate) struct Watcher {
    pub ticket: Ticket,
    /// The nodes that it is one of.
    pub group: Group,
    /// The document that it was told of.
    document: u64,
    /// The emptied halls that it was told of.
    pub halls: u64,
    /// The list that it has; `None` where it takes those of other keepers.
    pub revision: Option<u64>,
    /// The digest of the keepers that it was told of.
    pub keepers: u64,
}

/// The list and who waits.
#[derive(Debug)]
pub(crate) struct Registry {
    nodes: BTreeMap<NodeName, (NodeInfo, Time)>,
    /// How many nodes each group has.
    sizes: BTreeMap<Group, u32>,
    revision: u64,
    /// The entries that the last revisions changed, the newest last.
    changes: VecDeque<NodeName>,
    /// The document in force.
    document: u64,
    /// The revision of the emptied halls.
    halls: u64,
    /// Who waits, by when they are answered at the latest: at each event only those are looked at whose time is over.
    watchers: BTreeMap<(Time, Ticket), Watcher>,
    /// No node is silent for too long before: until then none is looked at.
    expires_from: Option<Time>,
    /// When a changed list is told.
    tell_at: Option<Time>,
}

impl Registry {
    pub fn new(seed: u64) -> Self {
        let revision = (seed << REVISION_BITS) | 1;
        Self {
            nodes: BTreeMap::new(),
            sizes: BTreeMap::new(),
            revision,
            changes: VecDeque::new(),
            document: 0,
            halls: 0,
            watchers: BTreeMap::new(),
            expires_from: None,
            tell_at: None,
        }
    }

    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Registers a node; returns it as one to answer where there is news already.
    pub fn watch(&mut self, now: Time, ticket: Ticket, request: WatchRequest) -> Vec<Watcher> {
        let WatchRequest { node, document, revision, halls, keepers } = request;
        let group = group_of(&node);
        let known = self.nodes.insert(node.name.clone(), (node.clone(), now)).map(|(node, _)| node);
        if known.as_ref() != Some(&node) {
            *self.sizes.entry(group.clone()).or_default() += 1;
            let was_entry = known.is_some_and(|before| self.leave_group(&before));
            if was_entry || node.role == NodeRole::Entry {
                self.changed(now, node.name.clone());
            }
        }
        self.expires_from.get_or_insert(now + EXPIRY);
        let watcher = Watcher { ticket, group, document, halls, revision, keepers };
        let settled = self.tell_at.is_none() && lacks_list(revision, self.revision);
        if document < self.document || halls < self.halls || settled {
            return vec![watcher];
        }
        self.watchers.insert((now + WATCH_TIME, ticket), watcher);
        Vec::new()
    }

    /// A document came into force; returns who has to be told.
    pub fn document_is(&mut self, version: u64) -> Vec<Watcher> {
        self.document = version;
        self.take(|watcher| watcher.document < version)
    }

    /// Other halls are emptied; returns who has to be told.
    pub fn halls_are(&mut self, revision: u64) -> Vec<Watcher> {
        self.halls = revision;
        self.take(|watcher| watcher.halls < revision)
    }

    /// Lets time pass; returns who has to be answered.
    pub fn tick(&mut self, now: Time) -> Vec<Watcher> {
        self.expire(now);
        let mut over = self.take_over(now);
        if self.tell_at.is_some_and(|at| at <= now) {
            self.tell_at = None;
            let revision = self.revision;
            over.extend(self.take(|watcher| lacks_list(watcher.revision, revision)));
        }
        over
    }

    /// Nodes that have been silent for too long are no longer listed.
    fn expire(&mut self, now: Time) {
        if self.expires_from.is_none_or(|from| now < from) {
            return;
        }
        let over: Vec<NodeInfo> = self
            .nodes
            .values()
            .filter(|(_, heard)| now.since(*heard) >= EXPIRY)
            .map(|(node, _)| node.clone())
            .collect();
        for node in over {
            self.nodes.remove(&node.name);
            if self.leave_group(&node) {
                self.changed(now, node.name);
            }
        }
        let longest_silent = self.nodes.values().map(|(_, heard)| *heard).min();
        self.expires_from = longest_silent.map(|heard| heard + EXPIRY);
    }

    /// Takes out those who have waited as long as they may.
    fn take_over(&mut self, now: Time) -> Vec<Watcher> {
        let mut over = Vec::new();
        while let Some(first) = self.watchers.first_entry()
            && first.key().0 <= now
        {
            over.push(first.remove());
        }
        over
    }

    /// When the next tick is due.
    pub fn next_timer(&self) -> Option<Time> {
        let first = self.watchers.first_key_value().map(|((until, _), _)| *until);
        first.into_iter().chain(self.tell_at).min()
    }

    /// What a node is told that has a list of this keeper, or none.
    pub fn list_news(&self, revision: Option<u64>) -> Option<ListNews> {
        let revision = revision.filter(|revision| *revision != self.revision)?;
        // A revision of an earlier life of this keeper is far away from the present ones.
        let missed = self.revision.checked_sub(revision).and_then(|by| usize::try_from(by).ok());
        let known = missed.filter(|missed| *missed <= self.changes.len());
        Some(known.map_or_else(|| ListNews::Whole(self.list()), |missed| self.last_changes(missed)))
    }

    fn list(&self) -> NodeList {
        let nodes = self.nodes.values().map(|(node, _)| node);
        let entries = nodes.filter(|node| node.role == NodeRole::Entry).cloned().collect();
        NodeList { revision: self.revision, nodes: entries }
    }

    fn last_changes(&self, count: usize) -> ListNews {
        let changed: BTreeSet<&NodeName> = self.changes.iter().rev().take(count).collect();
        let mut change = ListChange { revision: self.revision, put: vec![], gone: vec![] };
        for name in changed {
            match self.nodes.get(name).filter(|(node, _)| node.role == NodeRole::Entry) {
                Some((node, _)) => change.put.push(node.clone()),
                None => change.gone.push(name.clone()),
            }
        }
        ListNews::Change(change)
    }

    /// How many nodes do the same as one that waits.
    pub fn peers(&self, watcher: &Watcher) -> u32 {
        self.sizes.get(&watcher.group).copied().unwrap_or(0)
    }

    /// How many entries are listed.
    fn entries(&self) -> usize {
        let of_entries = self.sizes.iter().filter(|((role, _), _)| *role == NodeRole::Entry);
        of_entries.map(|(_, size)| *size as usize).sum()
    }

    /// A node is no longer what it was; returns whether it was an entry.
    fn leave_group(&mut self, node: &NodeInfo) -> bool {
        if let Some(size) = self.sizes.get_mut(&group_of(node)) {
            *size = size.saturating_sub(1);
        }
        node.role == NodeRole::Entry
    }

    fn changed(&mut self, now: Time, entry: NodeName) {
        self.revision += 1;
        self.changes.push_back(entry);
        let most = CHANGES_KEPT_PER_ENTRY * self.entries().max(1);
        while self.changes.len() > most {
            self.changes.pop_front();
        }
        self.tell_at.get_or_insert(now + GATHER);
    }

    fn take(&mut self, which: impl Fn(&Watcher) -> bool) -> Vec<Watcher> {
        let chosen = self.watchers.iter().filter(|(_, watcher)| which(watcher));
        let chosen: Vec<(Time, Ticket)> = chosen.map(|(key, _)| *key).collect();
        chosen.iter().filter_map(|key| self.watchers.remove(key)).collect()
    }
}

/// Whether a node that has a revision of the list, or takes none, has to be told of a newer one.
fn lacks_list(has: Option<u64>, newest: u64) -> bool {
    has.is_some_and(|revision| revision != newest)
}

fn group_of(node: &NodeInfo) -> Group {
    (node.role, node.service.clone())
}
