//! The agents that hold claims and the choice of the holders of a submission.

use std::collections::BTreeMap;
use std::str::FromStr;

use model::{NodeName, SubmissionId, Time};
use thiserror::Error;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The number of agents that hold the claim on one submission.
pub const HOLDERS: usize = 3;

/// The error for a member that is not written as `NAME@RACK`.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("claim view member '{0}' is not NAME@RACK")]
pub struct InvalidMember(String);

/// An agent of a claim view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The name of the agent.
    pub name: NodeName,
    /// The rack of the agent's host; holders of a submission are spread over racks.
    pub rack: String,
}

impl FromStr for Member {
    type Err = InvalidMember;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text.split_once('@') {
            Some((name, rack)) if !name.is_empty() && !rack.is_empty() => {
                Ok(Self { name: NodeName::new(name), rack: rack.to_owned() })
            }
            _ => Err(InvalidMember(text.to_owned())),
        }
    }
}

/// A member of a rack and the hash of its name.
#[derive(Clone, Debug)]
struct HashedMember {
    name: NodeName,
    hash: u64,
}

/// A rack with the hash of its name and its members.
#[derive(Clone, Debug)]
struct Rack {
    hash: u64,
    members: Vec<HashedMember>,
}

/// A claim view, prepared for choosing holders.
///
/// Rendezvous hashing ranks the racks first and then the members of the chosen racks. This takes
/// one hash per rack instead of one per member, and spreads the holders over as many racks as
/// possible.
#[derive(Clone, Debug, Default)]
pub struct View {
    racks: Vec<Rack>,
}

impl View {
    /// Creates a view of these members, in any order.
    pub fn new(members: &[Member]) -> Self {
        let mut racks: BTreeMap<&str, Vec<HashedMember>> = BTreeMap::new();
        for member in members {
            let name = member.name.clone();
            let hash = xxh3_64(name.as_str().as_bytes());
            racks.entry(&member.rack).or_default().push(HashedMember { name, hash });
        }
        let to_rack = |(rack, members): (&str, Vec<HashedMember>)| Rack {
            hash: xxh3_64(rack.as_bytes()),
            members,
        };
        Self { racks: racks.into_iter().map(to_rack).collect() }
    }

    /// The agents that hold the claim on a submission: [`HOLDERS`], or all of a smaller view.
    pub fn holders(&self, submission: SubmissionId) -> Vec<NodeName> {
        let key = xxh3_64(&submission.as_u128().to_le_bytes());
        let mut racks: Vec<&Rack> = self.racks.iter().collect();
        keep_highest(&mut racks, HOLDERS, |rack| hash_weight(key, rack.hash));
        let mut ranked_racks: Vec<Vec<&HashedMember>> = Vec::with_capacity(racks.len());
        for rack in racks {
            let mut members: Vec<&HashedMember> = rack.members.iter().collect();
            keep_highest(&mut members, HOLDERS, |member| hash_weight(key, member.hash));
            ranked_racks.push(members);
        }
        take_by_rank(&ranked_racks)
    }
}

/// Keeps the `count` items of the highest weight, in descending order.
fn keep_highest<T>(items: &mut Vec<T>, count: usize, weight: impl Fn(&T) -> u64) {
    if items.len() > count {
        items.select_nth_unstable_by_key(count - 1, |item| std::cmp::Reverse(weight(item)));
        items.truncate(count);
    }
    items.sort_by_key(|item| std::cmp::Reverse(weight(item)));
}

/// Takes the best member of every rack, then the second best of every rack, up to [`HOLDERS`].
fn take_by_rank(ranked_racks: &[Vec<&HashedMember>]) -> Vec<NodeName> {
    let depth = ranked_racks.iter().map(Vec::len).max().unwrap_or(0);
    let ranked = (0..depth)
        .flat_map(|rank| ranked_racks.iter().filter_map(move |members| members.get(rank)));
    ranked.take(HOLDERS).map(|member| member.name.clone()).collect()
}

/// The rendezvous hash of a rack or member, given the hash of its name, for a submission's key.
fn hash_weight(key: u64, hash: u64) -> u64 {
    xxh3_64_with_seed(&hash.to_le_bytes(), key)
}

/// The current view and, for some time after a change, the previous one.
#[derive(Clone, Debug, Default)]
pub struct Views {
    current: View,
    previous: Option<(View, Time)>,
}

impl Views {
    /// Creates the views; `previous` has the time until which the previous view must agree too.
    pub fn new(current: View, previous: Option<(View, Time)>) -> Self {
        Self { current, previous }
    }

    /// The holders of every view that must agree on this submission at `now`.
    pub fn holders(&self, submission: SubmissionId, now: Time) -> Vec<Vec<NodeName>> {
        let mut groups = vec![self.current.holders(submission)];
        if let Some((view, until)) = &self.previous
            && now <= *until
        {
            groups.push(view.holders(submission));
        }
        groups
    }
}
