//! Subset selection of one agent.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use model::{NodeName, Time};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::debounce::DebouncedCount;

/// Minimum numbers of sessions per agent and per entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubsetSizes {
    /// Minimum number of entries that an agent serves, if that many are registered.
    pub entries_of_agent: usize,
    /// Minimum mean number of agents of a service that serve an entry.
    pub agents_of_entry: usize,
}

impl Default for SubsetSizes {
    fn default() -> Self {
        Self { entries_of_agent: 6, agents_of_entry: 28 }
    }
}

/// Grace period for which an entry stays a candidate after the keepers stopped listing it. A
/// restarted keeper lists only nodes that have registered since; all nodes register again within
/// this period.
const ABSENCE_GRACE: Duration = Duration::from_secs(3);
/// Time for which the required subset size has to stay above or below the current size before the
/// current size changes. It is longer than all nodes take to register after a common start or a
/// restart of the keepers.
const SIZE_CHANGE_DELAY: Duration = Duration::from_secs(2);

/// An entry that is registered with a keeper, or was within the grace period.
#[derive(Clone, Debug)]
struct RegisteredEntry {
    name: NodeName,
    absent_since: Option<Time>,
}

/// Selects the entries with which one agent keeps sessions.
#[derive(Debug)]
pub struct Subset {
    agent: NodeName,
    sizes: SubsetSizes,
    entries: BTreeMap<SocketAddr, RegisteredEntry>,
    /// Registered agents of the same service, including this one.
    agents: usize,
    count: DebouncedCount,
}

impl Subset {
    /// Creates the selection of `agent`, without any registered entries.
    pub fn new(agent: NodeName, sizes: SubsetSizes) -> Self {
        let count = DebouncedCount::new(sizes.entries_of_agent);
        Self { agent, sizes, entries: BTreeMap::new(), agents: 1, count }
    }

    /// Updates the registered entries and the number of registered agents of the service.
    pub fn update_registered<'a>(
        &mut self,
        now: Time,
        entries: impl IntoIterator<Item = (&'a NodeName, SocketAddr)>,
        agents: usize,
    ) {
        self.agents = agents.max(1);
        for entry in self.entries.values_mut() {
            entry.absent_since.get_or_insert(now);
        }
        for (name, address) in entries {
            self.entries
                .insert(address, RegisteredEntry { name: name.clone(), absent_since: None });
        }
    }

    /// Returns the addresses of the entries that the agent serves now, sorted.
    pub fn select(&mut self, now: Time) -> Vec<SocketAddr> {
        self.entries
            .retain(|_, entry| entry.absent_since.is_none_or(|at| now.since(at) < ABSENCE_GRACE));
        let count = self.update_count(now);
        let mut ranked: Vec<(u64, SocketAddr)> = self
            .entries
            .iter()
            .map(|(address, entry)| (self.hash_weight(&entry.name), *address))
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.truncate(count);
        let mut selected: Vec<SocketAddr> =
            ranked.into_iter().map(|(_, address)| address).collect();
        selected.sort_unstable();
        selected
    }

    /// Whether the entry is registered with a keeper, or was within the grace period.
    pub fn contains(&self, address: SocketAddr) -> bool {
        self.entries.contains_key(&address)
    }

    /// Updates and returns the number of entries to serve. With few agents it exceeds the minimum,
    /// so that each entry is served by enough of them.
    fn update_count(&mut self, now: Time) -> usize {
        let required = (self.sizes.agents_of_entry * self.entries.len()).div_ceil(self.agents);
        let desired = required.max(self.sizes.entries_of_agent);
        self.count.update(now, desired, SIZE_CHANGE_DELAY)
    }

    /// The rendezvous hash of an entry at this agent; the highest ones are selected.
    fn hash_weight(&self, entry: &NodeName) -> u64 {
        let seed = xxh3_64_with_seed(self.agent.as_str().as_bytes(), 0);
        xxh3_64_with_seed(entry.as_str().as_bytes(), seed)
    }
}
