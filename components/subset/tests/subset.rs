//! Subset selection while entries and agents register, disappear and are counted late.

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

fn register(subset: &mut Subset, now: Time, entries: &[(NodeName, SocketAddr)], agents: usize) {
    subset.update_registered(now, entries.iter().map(|(name, address)| (name, *address)), agents);
}

fn agent(number: usize) -> Subset {
    Subset::new(NodeName::new(&format!("agent-{number}")), SubsetSizes::default())
}

/// The selections of all agents after the counts have settled.
fn settled_selections(
    entries: &[(NodeName, SocketAddr)],
    agents: usize,
) -> Vec<BTreeSet<SocketAddr>> {
    let select = |number| {
        let mut subset = agent(number);
        for second in 0..4 {
            let now = START + Duration::from_secs(second);
            register(&mut subset, now, entries, agents);
            subset.select(now);
        }
        subset.select(START + Duration::from_secs(4)).into_iter().collect()
    };
    (0..agents).map(select).collect()
}

fn agents_per_entry(selected: &[BTreeSet<SocketAddr>]) -> BTreeMap<SocketAddr, usize> {
    let mut agent_counts = BTreeMap::new();
    for address in selected.iter().flatten() {
        *agent_counts.entry(*address).or_default() += 1;
    }
    agent_counts
}

/// The number of sessions must not grow with entries times agents, and each entry must still be
/// served by enough agents.
#[test]
fn large_site_has_small_subsets_and_enough_agents_per_entry() {
    for (entry_count, agent_count) in [(51, 240), (100, 470), (400, 1_875)] {
        let all_entries = entries(entry_count);
        let selected = settled_selections(&all_entries, agent_count);
        assert!(selected.iter().all(|entries| entries.len() == 6), "{entry_count}");
        let agent_counts = agents_per_entry(&selected);
        assert_eq!(agent_counts.len(), usize::from(entry_count), "an entry has no agent");
        let least = agent_counts.values().min().copied().unwrap_or(0);
        assert!(least >= 10, "{entry_count} entries: one has {least} agents");
    }
}

#[test]
fn small_site_serves_every_entry_from_every_agent() {
    for (entry_count, agent_count) in [(1, 3), (3, 11), (4, 11), (5, 24), (6, 28)] {
        let selected = settled_selections(&entries(entry_count), agent_count);
        assert!(selected.iter().all(|entries| entries.len() == usize::from(entry_count)));
    }
}

/// With few agents, the minimum subset size would leave entries with too few agents.
#[test]
fn few_agents_serve_larger_subsets() {
    let selected = settled_selections(&entries(60), 12);
    assert!(
        selected.iter().all(|entries| entries.len() == 60),
        "an agent does not serve every entry"
    );
    let selected = settled_selections(&entries(60), 120);
    assert!(selected.iter().all(|entries| entries.len() == 14));
}

/// Nodes that start together are counted late. An agent that trusted the first counts would open a
/// session with every entry during startup.
#[test]
fn transient_counts_do_not_change_subset_size() {
    let all_entries = entries(51);
    let mut subset = agent(1);
    for (step, (registered, agents)) in
        [(3, 1), (20, 4), (40, 30), (51, 90)].into_iter().enumerate()
    {
        let now = START + Duration::from_millis(300 * step as u64);
        register(&mut subset, now, &all_entries[..registered], agents);
        assert!(subset.select(now).len() <= 6, "step {step}");
    }
    let later = START + Duration::from_secs(6);
    register(&mut subset, later, &all_entries, 240);
    assert_eq!(subset.select(later).len(), 6);
}

/// A restarted keeper lists only nodes that have registered since; sessions must survive that.
#[test]
fn briefly_unregistered_entries_stay_selected() {
    let all_entries = entries(51);
    let mut subset = agent(1);
    register(&mut subset, START, &all_entries, 240);
    let before = subset.select(START);
    let restarted = START + Duration::from_secs(10);
    register(&mut subset, restarted, &all_entries[..2], 5);
    assert_eq!(subset.select(restarted), before);
    let second_later = restarted + Duration::from_secs(1);
    register(&mut subset, second_later, &all_entries, 240);
    assert_eq!(subset.select(second_later + Duration::from_secs(5)), before);
}

#[test]
fn lost_entry_is_replaced_and_reselected_after_return() {
    let all_entries = entries(51);
    let mut subset = agent(1);
    register(&mut subset, START, &all_entries, 240);
    let before = subset.select(START);
    let lost = before[0];
    let remaining: Vec<_> =
        all_entries.iter().filter(|(_, address)| *address != lost).cloned().collect();
    register(&mut subset, START, &remaining, 240);
    assert_eq!(
        subset.select(START + Duration::from_secs(2)),
        before,
        "an entry was dropped within the grace period"
    );
    let without = subset.select(START + Duration::from_secs(3));
    assert_eq!(without.len(), 6);
    assert_eq!(without.iter().filter(|address| before.contains(address)).count(), 5);
    register(&mut subset, START + Duration::from_secs(9), &all_entries, 240);
    assert_eq!(subset.select(START + Duration::from_secs(9)), before);
}

proptest! {
    /// Adding or removing one entry changes at most one session of an agent.
    #[test]
    fn one_entry_change_moves_at_most_one_session(
        count in 7_u16..80,
        number in 0_usize..500,
        lost in 0_u16..80,
    ) {
        let lost = lost % count;
        let all_entries = entries(count);
        let remaining: Vec<_> = all_entries.iter().enumerate()
            .filter(|(index, _)| *index != usize::from(lost))
            .map(|(_, entry)| entry.clone())
            .collect();
        let select = |registered: &[(NodeName, SocketAddr)]| -> BTreeSet<SocketAddr> {
            let mut subset = agent(number);
            // With this many agents the minimum number of entries suffices.
            register(&mut subset, START, registered, 2_000);
            subset.select(START).into_iter().collect()
        };
        let (with, without) = (select(&all_entries), select(&remaining));
        prop_assert!(with.difference(&without).count() <= 1);
        prop_assert!(without.difference(&with).count() <= 1);
    }
}
