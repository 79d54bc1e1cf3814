//! An entry's round of claims: asked at once, won by a majority of every view's holders.

use std::collections::HashMap;

use model::{NodeName, NodeRef};

use crate::{Claim, ClaimReply, LookupReply};

/// Where a round stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoundState {
    /// Replies are awaited that may still decide it.
    Open,
    /// A majority of every view's holders granted the claim: the entry is the owner.
    Won,
    /// It can't be won: this claim came first at some holder.
    Lost(Claim),
    /// It can't be won, and nobody else was seen to have claimed.
    NoQuorum,
}

/// What one holder said.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Vote {
    /// The claim holds there; or, where only asked, nobody's does.
    Granted,
    /// The entry's own claim held there before.
    Renewed,
    /// Another's claim holds there.
    Held(Claim),
    /// Silent, dead or cut off.
    None,
}

impl From<&ClaimReply> for Vote {
    fn from(reply: &ClaimReply) -> Self {
        match reply {
            ClaimReply::Granted => Self::Granted,
            ClaimReply::Renewed => Self::Renewed,
            ClaimReply::Held(claim) => Self::Held(claim.clone()),
            ClaimReply::Silent(_) => Self::None,
        }
    }
}

impl From<&LookupReply> for Vote {
    fn from(reply: &LookupReply) -> Self {
        match reply {
            LookupReply::Free => Self::Granted,
            LookupReply::Held(claim) => Self::Held(claim.clone()),
            LookupReply::Silent(_) => Self::None,
        }
    }
}

/// The round of one submission at one entry: of claims, or of questions whose claim holds.
///
/// A round of questions that is won proves that nobody owned the submission when it began.
#[derive(Clone, Debug)]
pub struct Round {
    groups: Vec<Vec<NodeName>>,
    votes: HashMap<NodeName, Vote>,
}

impl Round {
    /// A round over the holders of each view that must agree.
    pub fn new(groups: Vec<Vec<NodeName>>) -> Self {
        Self { groups, votes: HashMap::new() }
    }

    /// Every holder to ask, each once.
    pub fn holders(&self) -> Vec<NodeName> {
        let mut names: Vec<NodeName> = self.groups.iter().flatten().cloned().collect();
        names.sort();
        names.dedup();
        names
    }

    /// Counts a holder's vote. A holder's first vote stands, except that one after a failure
    /// counts.
    pub fn record(&mut self, holder: &NodeName, vote: Vote) {
        if !self.groups.iter().flatten().any(|name| name == holder) {
            return;
        }
        let known = self.votes.entry(holder.clone()).or_insert(Vote::None);
        if *known == Vote::None {
            *known = vote;
        }
    }

    /// Where the round stands.
    pub fn state(&self) -> RoundState {
        if self.groups.iter().all(|group| self.granted(group) >= majority(group)) {
            return RoundState::Won;
        }
        if self.groups.iter().all(|group| self.still_possible(group)) {
            return RoundState::Open;
        }
        match self.first_owner() {
            Some(claim) => RoundState::Lost(claim),
            None if self.all_replied() => RoundState::NoQuorum,
            None => RoundState::Open,
        }
    }

    /// Whether a holder knew the entry's claim already.
    pub fn renewed(&self) -> bool {
        self.votes.values().any(|vote| *vote == Vote::Renewed)
    }

    /// The holders that have not voted.
    pub fn awaited(&self) -> Vec<NodeName> {
        let mut names = self.holders();
        names.retain(|name| !self.votes.contains_key(name));
        names
    }

    fn granted(&self, group: &[NodeName]) -> usize {
        let granted =
            |name: &&NodeName| matches!(self.votes.get(*name), Some(Vote::Granted | Vote::Renewed));
        group.iter().filter(granted).count()
    }

    fn still_possible(&self, group: &[NodeName]) -> bool {
        let refused =
            |name: &&NodeName| matches!(self.votes.get(*name), Some(Vote::Held(_) | Vote::None));
        let against = group.iter().filter(refused).count();
        !group.is_empty() && group.len() - against >= majority(group)
    }

    fn all_replied(&self) -> bool {
        self.groups.iter().flatten().all(|name| self.votes.contains_key(name))
    }

    /// The claim that most holders have, where any has another's.
    fn first_owner(&self) -> Option<Claim> {
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

/// More than half of a group; one more than there are for an empty group, which never agrees.
fn majority(group: &[NodeName]) -> usize {
    group.len() / 2 + 1
}
