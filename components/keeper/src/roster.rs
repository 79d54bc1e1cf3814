//! The nodes that a keeper knows across restarts, and which of them it notifies after a start.
//!
//! Nodes without a disk know only the keepers that their settings name. After a power loss of the
//! whole fleet, other keepers may start first and would be unknown to the nodes. A starting keeper
//! therefore notifies the nodes that it knew before, and they then register.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

use model::{NodeName, Time};
use serde::{Deserialize, Serialize};
use wire::NodeInfo;

/// Interval between two notices to a node. They are repeated, as a notice may be lost.
const NOTIFY_INTERVAL: Duration = Duration::from_millis(60);
/// Time after the start for which nodes that have not registered are notified: the hosts of a hall
/// return within seconds. Later, nodes find the keeper through their settings.
const NOTIFY_PERIOD: Duration = Duration::from_secs(5);
/// Delay of the first store after a start, so that the nodes that register one after another are
/// stored together.
const FIRST_STORE_DELAY: Duration = Duration::from_secs(2);
/// Minimum interval between two stores, as each store syncs the disk three times, which takes about
/// 30 ms.
const STORE_INTERVAL: Duration = Duration::from_secs(1);
/// Time without contact after which a node is removed at the next store.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// A node as stored on disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredNode {
    /// The node's name.
    pub name: NodeName,
    /// The node's host. All nodes listen for notices on the same port.
    pub host: IpAddr,
}

/// The work that is due.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RosterWork {
    /// Hosts to notify that this keeper has started.
    pub notify: Vec<IpAddr>,
    /// The nodes to store on disk; `None` if the stored list is up to date.
    pub store: Option<Vec<StoredNode>>,
}

#[derive(Clone, Copy, Debug)]
struct KnownNode {
    host: IpAddr,
    /// When the node last registered; `None` if it has not since the keeper's start.
    last_contact: Option<Time>,
}

/// The nodes known to a keeper, including those stored before its start. The stored list is only a
/// hint; it is neither replicated nor part of the journal.
#[derive(Debug)]
pub struct Roster {
    started_at: Time,
    nodes: BTreeMap<NodeName, KnownNode>,
    /// When the nodes that have not registered are notified next.
    notify_at: Option<Time>,
    /// When the changed list is stored.
    store_at: Option<Time>,
    /// Earliest time of the next store.
    store_not_before: Time,
}

impl Roster {
    /// Creates the roster of a starting keeper from the nodes stored on disk.
    pub fn new(now: Time, stored: Vec<StoredNode>) -> Self {
        let known =
            |node: StoredNode| (node.name, KnownNode { host: node.host, last_contact: None });
        let nodes: BTreeMap<NodeName, KnownNode> = stored.into_iter().map(known).collect();
        let notify_at = (!nodes.is_empty()).then_some(now);
        Self {
            started_at: now,
            nodes,
            notify_at,
            store_at: None,
            store_not_before: now + FIRST_STORE_DELAY,
        }
    }

    /// Records that a node registered at this keeper.
    pub fn record_contact(&mut self, now: Time, node: &NodeInfo) {
        let host = node.address.ip();
        let known = KnownNode { host, last_contact: Some(now) };
        let previous = self.nodes.insert(node.name.clone(), known);
        if previous.is_none_or(|previous| previous.host != host) {
            self.store_at.get_or_insert(self.store_not_before.max(now));
        }
    }

    /// Returns the work that is due.
    pub fn tick(&mut self, now: Time) -> RosterWork {
        RosterWork { notify: self.due_notices(now), store: self.due_store(now) }
    }

    /// When work is due next.
    pub fn next_timer(&self) -> Option<Time> {
        self.notify_at.into_iter().chain(self.store_at).min()
    }

    fn due_notices(&mut self, now: Time) -> Vec<IpAddr> {
        if self.notify_at.is_none_or(|at| now < at) {
            return Vec::new();
        }
        let unregistered = self.nodes.values().filter(|known| known.last_contact.is_none());
        let hosts: Vec<IpAddr> = unregistered.map(|known| known.host).collect();
        let next = now + NOTIFY_INTERVAL;
        let notices_continue = !hosts.is_empty() && next.since(self.started_at) < NOTIFY_PERIOD;
        self.notify_at = notices_continue.then_some(next);
        hosts
    }

    fn due_store(&mut self, now: Time) -> Option<Vec<StoredNode>> {
        self.store_at.filter(|at| *at <= now)?;
        self.store_at = None;
        self.store_not_before = now + STORE_INTERVAL;
        let started_at = self.started_at;
        self.nodes
            .retain(|_, known| now.since(known.last_contact.unwrap_or(started_at)) < FORGET_AFTER);
        let node = |(name, known): (&NodeName, &KnownNode)| StoredNode {
            name: name.clone(),
            host: known.host,
        };
        Some(self.nodes.iter().map(node).collect())
    }
}
