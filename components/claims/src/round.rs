//! An entry's round of claims, which is won by a majority of the holders of every view.

use std::collections::HashMap;

use model::{NodeName, NodeRef};

use crate::{Claim, ClaimReply, LookupReply};

/// The state of a round.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoundState {
    /// Outstanding replies may still win the round or show another claim.
    Open,
    /// A majority of every view's holders granted the claim: the entry is the owner.
    Won,
    /// The round can't be won, and another claim was seen: the one that most holders have.
    Lost(Claim),
    /// The round can't be won, and no other claim was seen.
    NoQuorum,
}

/// The vote of one holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Vote {
    /// The holder now holds the claim or, in a lookup, holds none.
    Granted,
    /// The holder held the entry's claim already.
    Renewed,
    /// The holder holds another claim.
    Held(Claim),
    /// The holder abstained, did not reply or was unreachable.
    Absent,
}

impl From<&ClaimReply> for Vote {
    fn from(reply: &ClaimReply) -> Self {
        match reply {
            ClaimReply::Granted => Self::Granted,
            ClaimReply::Renewed => Self::Renewed,
            ClaimReply::Held(claim) => Self::Held(claim.clone()),
            ClaimReply::Silent(_) => Self::Absent,
        }
    }
}

impl From<&LookupReply> for Vote {
    fn from(reply: &LookupReply) -> Self {
        match reply {
            LookupReply::Free => Self::Granted,
            LookupReply::Held(claim) => Self::Held(claim.clone()),
            LookupReply::Silent(_) => Self::Absent,
        }
    }
}

/// A round of claims or lookups for one submission at one entry.
///
/// Winning a round of lookups proves that the submission had no owner when the round started.
#[derive(Clone, Debug)]
pub struct Round {
    /// The holders of each view.
    groups: Vec<Vec<NodeName>>,
    votes: HashMap<NodeName, Vote>,
}

impl Round {
    /// Creates a round over groups of holders, one for each view that must agree.
    pub fn new(groups: Vec<Vec<NodeName>>) -> Self {
        Self { groups, votes: HashMap::new() }
    }

    /// The holders of all views, without duplicates.
    pub fn holders(&self) -> Vec<NodeName> {
        let mut names: Vec<NodeName> = self.groups.iter().flatten().cloned().collect();
        names.sort();
        names.dedup();
        names
    }

    /// Records a holder's vote. The first vote counts, but a later one replaces [`Vote::Absent`].
    pub fn record(&mut self, holder: &NodeName, vote: Vote) {
        if !self.groups.iter().flatten().any(|name| name == holder) {
            return;
        }
        let recorded = self.votes.entry(holder.clone()).or_insert(Vote::Absent);
        if *recorded == Vote::Absent {
            *recorded = vote;
        }
    }

    /// The state of the round after the votes so far.
    pub fn state(&self) -> RoundState {
        if self.groups.iter().all(|group| self.granted_count(group) >= majority(group)) {
            return RoundState::Won;
        }
        if self.groups.iter().all(|group| self.can_reach_majority(group)) {
            return RoundState::Open;
        }
        match self.most_held_claim() {
            Some(claim) => RoundState::Lost(claim),
            None if self.all_voted() => RoundState::NoQuorum,
            None => RoundState::Open,
        }
    }

    /// Whether any holder held the entry's claim already.
    pub fn renewed(&self) -> bool {
        self.votes.values().any(|vote| *vote == Vote::Renewed)
    }

    /// The holders without a recorded vote.
    pub fn awaited(&self) -> Vec<NodeName> {
        let mut names = self.holders();
        names.retain(|name| !self.votes.contains_key(name));
        names
    }

    fn granted_count(&self, group: &[NodeName]) -> usize {
        let granted =
            |name: &&NodeName| matches!(self.votes.get(*name), Some(Vote::Granted | Vote::Renewed));
        group.iter().filter(granted).count()
    }

    fn can_reach_majority(&self, group: &[NodeName]) -> bool {
        let refused =
            |name: &&NodeName| matches!(self.votes.get(*name), Some(Vote::Held(_) | Vote::Absent));
        let against = group.iter().filter(refused).count();
        !group.is_empty() && group.len() - against >= majority(group)
    }

    fn all_voted(&self) -> bool {
        self.groups.iter().flatten().all(|name| self.votes.contains_key(name))
    }

    /// The other claim that most holders have, if any.
    fn most_held_claim(&self) -> Option<Claim> {
        let mut counts: HashMap<&NodeRef, (usize, &Claim)> = HashMap::new();
        for vote in self.votes.values() {
            if let Vote::Held(claim) = vote {
                counts.entry(&claim.owner).or_insert((0, claim)).0 += 1;
            }
        }
        let most = counts.into_values().max_by_key(|(count, claim)| (*count, claim.owner.clone()));
        most.map(|(_, claim)| claim.clone())
    }
}

/// The votes needed in a group: more than half of it. An empty group needs one and never agrees.
fn majority(group: &[NodeName]) -> usize {
    group.len() / 2 + 1
}
