//! Which entries agents serve, as entries and agents come, go, and are counted late.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use model::{NodeName, Time};
use proptest::prelude::*;
use subset::{Subset, SubsetSizes};

const START: Time = Time::from_millis(1_000_000);

fn entry(number: u16) -> (NodeName, SocketAddr) {
    let [high, low] = number.to_be_bytes();
    (NodeName::new(&format!("entry-{number}")), ([10, 0, high, low], 7_720).into())
}

fn entries(count: u16) -> Vec<(NodeName, SocketAddr)> {
    (0..count).map(entry).collect()
}

fn tell(subset: &mut Subset, now: Time, entries: &[(NodeName, SocketAddr)], agents: usize) {
    subset.update_registered(now, entries.iter().map(|(name, address)| (name, *address)), agents);
}

fn agent(number: usize) -> Subset {
    Subset::new(NodeName::new(&format!("agent-{number}")), SubsetSizes::default())
}

/// What all agents choose once everything has settled.
fn settled(entries: &[(NodeName, SocketAddr)], agents: usize) -> Vec<BTreeSet<SocketAddr>> {
    let choose = |number| {
        let mut subset = agent(number);
        for second in 0..4 {
            let now = START + Duration::from_secs(second);
            tell(&mut subset, now, entries, agents);
            subset.select(now);
        }
        subset.select(START + Duration::from_secs(4)).into_iter().collect()
    };
    (0..agents).map(choose).collect()
}

fn by_entry(chosen: &[BTreeSet<SocketAddr>]) -> BTreeMap<SocketAddr, usize> {
    let mut sizes = BTreeMap::new();
    for address in chosen.iter().flatten() {
        *sizes.entry(*address).or_default() += 1;
    }
    sizes
}

/// Sessions and messages must not grow with entries times agents: at 51 entries and 240 agents there are
/// 1,440 sessions where each with each would be 12,240, and each entry has enough agents to choose from.
#[test]
fn at_hundreds_of_hosts_each_agent_serves_few_entries_and_each_entry_has_enough_agents() {
    for (entry_count, agent_count) in [(51, 240), (100, 470), (400, 1_875)] {
        let all = entries(entry_count);
        let chosen = settled(&all, agent_count);
        assert!(chosen.iter().all(|entries| entries.len() == 6), "{entry_count}");
        let sizes = by_entry(&chosen);
        assert_eq!(sizes.len(), usize::from(entry_count), "no entry is left out");
        let least = sizes.values().min().copied().unwrap_or(0);
        assert!(least >= 10, "{entry_count} entries: one has {least} agents");
    }
}

#[test]
fn at_a_small_site_each_agent_serves_each_entry() {
    for (entry_count, agent_count) in [(1, 3), (3, 11), (4, 11), (5, 24), (6, 28)] {
        let chosen = settled(&entries(entry_count), agent_count);
        assert!(chosen.iter().all(|entries| entries.len() == usize::from(entry_count)));
    }
}

/// Many entries beside few targets: each agent serves more of them, or entries would have hardly any.
#[test]
fn where_agents_are_few_each_serves_more_entries() {
    let chosen = settled(&entries(60), 12);
    assert!(chosen.iter().all(|entries| entries.len() == 60), "fewer agents than an entry needs");
    let chosen = settled(&entries(60), 120);
    assert!(chosen.iter().all(|entries| entries.len() == 14));
}

/// Nodes that start together are counted late: an agent that believed the first numbers would open a
/// session with each entry, at the moment at which all have most to do.
#[test]
fn numbers_that_do_not_hold_yet_change_nothing() {
    let all = entries(51);
    let mut subset = agent(1);
    for (step, (listed, agents)) in [(3, 1), (20, 4), (40, 30), (51, 90)].into_iter().enumerate() {
        let now = START + Duration::from_millis(300 * step as u64);
        tell(&mut subset, now, &all[..listed], agents);
        assert!(subset.select(now).len() <= 6, "step {step}");
    }
    let later = START + Duration::from_secs(6);
    tell(&mut subset, later, &all, 240);
    assert_eq!(subset.select(later).len(), 6);
}

/// Keepers that have just started list only whoever has registered since.
#[test]
fn entries_that_are_missing_from_a_list_for_a_moment_are_kept() {
    let all = entries(51);
    let mut subset = agent(1);
    tell(&mut subset, START, &all, 240);
    let before = subset.select(START);
    let restarted = START + Duration::from_secs(10);
    tell(&mut subset, restarted, &all[..2], 5);
    assert_eq!(subset.select(restarted), before);
    let second_later = restarted + Duration::from_secs(1);
    tell(&mut subset, second_later, &all, 240);
    assert_eq!(subset.select(second_later + Duration::from_secs(5)), before);
}

#[test]
fn an_entry_that_is_gone_is_replaced_and_returns_to_the_same_agents() {
    let all = entries(51);
    let mut subset = agent(1);
    tell(&mut subset, START, &all, 240);
    let before = subset.select(START);
    let lost = before[0];
    let left: Vec<_> = all.iter().filter(|(_, address)| *address != lost).cloned().collect();
    tell(&mut subset, START, &left, 240);
    assert_eq!(subset.select(START + Duration::from_secs(2)), before, "it may be restarting");
    let without = subset.select(START + Duration::from_secs(3));
    assert_eq!(without.len(), 6);
    assert_eq!(without.iter().filter(|address| before.contains(address)).count(), 5);
    tell(&mut subset, START + Duration::from_secs(9), &all, 240);
    assert_eq!(subset.select(START + Duration::from_secs(9)), before);
}

proptest! {
    /// The loss or arrival of one entry moves one session of an agent at most.
    #[test]
    fn one_entry_more_or_less_moves_one_session(
        count in 7_u16..80,
        number in 0_usize..500,
        lost in 0_u16..80,
    ) {
        let lost = lost % count;
        let all = entries(count);
        let left: Vec<_> = all.iter().enumerate()
            .filter(|(index, _)| *index != usize::from(lost))
            .map(|(_, entry)| entry.clone())
            .collect();
        let choose = |listed: &[(NodeName, SocketAddr)]| -> BTreeSet<SocketAddr> {
            let mut subset = agent(number);
            // So many agents that the least number of entries is enough.
            tell(&mut subset, START, listed, 2_000);
            subset.select(START).into_iter().collect()
        };
        let (with, without) = (choose(&all), choose(&left));
        prop_assert!(with.difference(&without).count() <= 1);
        prop_assert!(without.difference(&with).count() <= 1);
    }
}
