//! The choice of one agent.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use model::{NodeName, Time};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::steady::Steady;

/// How many sessions there are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubsetSizes {
    /// Entries that an agent serves at least, where there are so many.
    pub entries_of_agent: usize,
    /// Agents of its service that an entry is served by at least, on the mean.
    pub agents_of_entry: usize,
}

impl Default for SubsetSizes {
    fn default() -> Self {
        Self { entries_of_agent: 6, agents_of_entry: 28 }
    }
}

/// An entry that no keeper lists is still counted for so long: keepers that have just started list
/// only whoever has registered since, and every node does so within a second.
const ABSENCE: Duration = Duration::from_secs(3);
/// How long other sizes have to hold before an agent serves more or fewer entries: longer than nodes
/// that start together, or keepers, take until all are counted.
const SETTLED: Duration = Duration::from_secs(2);

/// An entry that some keeper lists, or has listed lately.
#[derive(Clone, Debug)]
struct Listed {
    name: NodeName,
    absent: Option<Time>,
}

/// Chooses the entries that one agent keeps sessions with.
#[derive(Debug)]
pub struct Subset {
    own: NodeName,
    sizes: SubsetSizes,
    entries: BTreeMap<SocketAddr, Listed>,
    /// Agents of the same service, this one included.
    agents: usize,
    count: Steady,
}

impl Subset {
    /// The choice of an agent that knows no entry yet.
    pub fn new(own: NodeName, sizes: SubsetSizes) -> Self {
        let count = Steady::new(sizes.entries_of_agent);
        Self { own, sizes, entries: BTreeMap::new(), agents: 1, count }
    }

    /// The entries that keepers list now, and how many agents of the service are registered.
    pub fn update_registered<'a>(
        &mut self,
        now: Time,
        entries: impl IntoIterator<Item = (&'a NodeName, SocketAddr)>,
        agents: usize,
    ) {
        self.agents = agents.max(1);
        for listed in self.entries.values_mut() {
            listed.absent.get_or_insert(now);
        }
        for (name, address) in entries {
            self.entries.insert(address, Listed { name: name.clone(), absent: None });
        }
    }

    /// The entries that the agent is to serve now, in the order of their addresses.
    pub fn select(&mut self, now: Time) -> Vec<SocketAddr> {
        self.entries.retain(|_, listed| listed.absent.is_none_or(|at| now.since(at) < ABSENCE));
        let count = self.count(now);
        let mut ranked: Vec<(u64, SocketAddr)> = self
            .entries
            .iter()
            .map(|(address, listed)| (self.rank(&listed.name), *address))
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.truncate(count);
        let mut chosen: Vec<SocketAddr> = ranked.into_iter().map(|(_, address)| address).collect();
        chosen.sort_unstable();
        chosen
    }

    /// Whether some keeper lists an entry, or has listed it lately.
    pub fn contains(&self, address: SocketAddr) -> bool {
        self.entries.contains_key(&address)
    }

    /// How many entries to serve: more where agents are few, so that each entry has enough of them.
    fn count(&mut self, now: Time) -> usize {
        let enough = (self.sizes.agents_of_entry * self.entries.len()).div_ceil(self.agents);
        let wanted = enough.max(self.sizes.entries_of_agent);
        self.count.follow(now, wanted, SETTLED)
    }

    fn rank(&self, entry: &NodeName) -> u64 {
        let agent = xxh3_64_with_seed(self.own.as_str().as_bytes(), 0);
        xxh3_64_with_seed(entry.as_str().as_bytes(), agent)
    }
}
