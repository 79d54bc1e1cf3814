//! The nodes that a keeper remembers across its lives, and which of them it calls when it is back.
//!
//! Nodes without a disk know of keepers only what their settings name, three addresses. Where everything has
//! lost power, other keepers may be up first, and nobody asks them. So a keeper that starts calls the nodes that it knew before,
//! and they ask it.
//!
//! A call is a hint and may be lost: a node that does not ask is called again for some seconds. What is remembered is a hint
//! as well, and neither replicated nor part of the journal.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

use model::{NodeName, Time};
use serde::{Deserialize, Serialize};
use wire::NodeInfo;

/// From one call to the next. Hosts that lost power together start within some 0.3 s of each other.
const CALL_EVERY: Duration = Duration::from_millis(60);
/// A node that has not asked for so long after the keeper's start is called no more: the hosts of a hall are
/// back within seconds, and nodes ask the keepers that their settings name by themselves.
const CALLED_FOR: Duration = Duration::from_secs(5);
/// A keeper that starts remembers what it knew before for so long, as nodes ask it one after the other.
const SETTLED: Duration = Duration::from_secs(2);
/// From one store to the next, at least: a store is three syncs of a disk, some 30 ms.
const STORE_EVERY: Duration = Duration::from_secs(1);
/// A node that has not asked for so long is forgotten at the next store.
const FORGOTTEN: Duration = Duration::from_secs(60);

/// A node as it is remembered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RememberedNode {
    /// Its name.
    pub name: NodeName,
    /// Its host; nodes listen for calls at one port.
    pub host: IpAddr,
}

/// What is to be done.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RosterWork {
    /// Hosts to call.
    pub call: Vec<IpAddr>,
    /// What to remember from now on, where it is something else than before.
    pub store: Option<Vec<RememberedNode>>,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    host: IpAddr,
    /// When it asked last; none where it has not since the keeper's start.
    heard: Option<Time>,
}

/// The nodes that one life of a keeper knows, and knew before.
#[derive(Debug)]
pub struct Roster {
    began: Time,
    nodes: BTreeMap<NodeName, Known>,
    /// When nodes that have not asked are called next.
    call_at: Option<Time>,
    /// When something else is to be remembered than before.
    store_at: Option<Time>,
    /// Nothing is stored before.
    store_from: Time,
}

impl Roster {
    /// A keeper starts that remembers these nodes.
    pub fn new(now: Time, remembered: Vec<RememberedNode>) -> Self {
        let known = |node: RememberedNode| (node.name, Known { host: node.host, heard: None });
        let nodes: BTreeMap<NodeName, Known> = remembered.into_iter().map(known).collect();
        let call_at = (!nodes.is_empty()).then_some(now);
        Self { began: now, nodes, call_at, store_at: None, store_from: now + SETTLED }
    }

    /// A node asks this keeper.
    pub fn heard(&mut self, now: Time, node: &NodeInfo) {
        let host = node.address.ip();
        let known = Known { host, heard: Some(now) };
        let before = self.nodes.insert(node.name.clone(), known);
        if before.is_none_or(|before| before.host != host) {
            self.store_at.get_or_insert(self.store_from.max(now));
        }
    }

    /// What is due.
    pub fn tick(&mut self, now: Time) -> RosterWork {
        RosterWork { call: self.due_calls(now), store: self.due_store(now) }
    }

    /// When something is due next.
    pub fn next_timer(&self) -> Option<Time> {
        self.call_at.into_iter().chain(self.store_at).min()
    }

    fn due_calls(&mut self, now: Time) -> Vec<IpAddr> {
        if self.call_at.is_none_or(|at| now < at) {
            return Vec::new();
        }
        let absent = self.nodes.values().filter(|known| known.heard.is_none());
        let hosts: Vec<IpAddr> = absent.map(|known| known.host).collect();
        let next = now + CALL_EVERY;
        let goes_on = !hosts.is_empty() && next.since(self.began) < CALLED_FOR;
        self.call_at = goes_on.then_some(next);
        hosts
    }

    fn due_store(&mut self, now: Time) -> Option<Vec<RememberedNode>> {
        self.store_at.filter(|at| *at <= now)?;
        self.store_at = None;
        self.store_from = now + STORE_EVERY;
        let began = self.began;
        self.nodes.retain(|_, known| now.since(known.heard.unwrap_or(began)) < FORGOTTEN);
        let node = |(name, known): (&NodeName, &Known)| RememberedNode {
            name: name.clone(),
            host: known.host,
        };
        Some(self.nodes.iter().map(node).collect())
    }
}
