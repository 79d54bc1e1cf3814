//! The agents that hold claims, and which of them hold a given submission's.

use std::collections::BTreeMap;
use std::str::FromStr;

use model::{NodeName, SubmissionId, Time};
use thiserror::Error;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// How many agents hold the claim of one submission.
pub const HOLDERS: usize = 3;

/// A member text that is not `NAME@RACK`.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("'{0}' is not NAME@RACK")]
pub struct InvalidMember(String);

/// One agent of a claim view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The agent.
    pub name: NodeName,
    /// The rack of its host; holders of one submission stand in different racks.
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

/// A member with the hash of its name.
#[derive(Clone, Debug)]
struct Seat {
    name: NodeName,
    hash: u64,
}

/// The members of one rack.
#[derive(Clone, Debug)]
struct Rack {
    hash: u64,
    seats: Vec<Seat>,
}

/// One claim view, ready for choosing holders.
///
/// Racks are ranked by rendezvous hashing first, then the members within a rack, so that choosing
/// costs one hash a rack rather than one a member, and the holders always stand in as many racks
/// as there are.
#[derive(Clone, Debug, Default)]
pub struct View {
    racks: Vec<Rack>,
}

impl View {
    /// A view of these members; their order does not matter.
    pub fn new(members: &[Member]) -> Self {
        let mut racks: BTreeMap<&str, Vec<Seat>> = BTreeMap::new();
        for member in members {
            let name = member.name.clone();
            let hash = xxh3_64(name.as_str().as_bytes());
            racks.entry(&member.rack).or_default().push(Seat { name, hash });
        }
        let ready =
            |(rack, seats): (&str, Vec<Seat>)| Rack { hash: xxh3_64(rack.as_bytes()), seats };
        Self { racks: racks.into_iter().map(ready).collect() }
    }

    /// The agents that hold this submission's claim: three, or all there are.
    pub fn holders(&self, submission: SubmissionId) -> Vec<NodeName> {
        let key = xxh3_64(&submission.as_u128().to_le_bytes());
        let mut racks: Vec<&Rack> = self.racks.iter().collect();
        keep_best(&mut racks, HOLDERS, |rack| rank(key, rack.hash));
        let mut columns: Vec<Vec<&Seat>> = Vec::with_capacity(racks.len());
        for rack in racks {
            let mut seats: Vec<&Seat> = rack.seats.iter().collect();
            keep_best(&mut seats, HOLDERS, |seat| rank(key, seat.hash));
            columns.push(seats);
        }
        take_by_rows(&columns)
    }
}

/// Keeps the `count` items of the highest rank, highest first.
fn keep_best<T>(items: &mut Vec<T>, count: usize, rank: impl Fn(&T) -> u64) {
    if items.len() > count {
        items.select_nth_unstable_by_key(count - 1, |item| std::cmp::Reverse(rank(item)));
        items.truncate(count);
    }
    items.sort_by_key(|item| std::cmp::Reverse(rank(item)));
}

/// Takes the best of every rack, then the second best of every rack, up to the holders' number.
fn take_by_rows(columns: &[Vec<&Seat>]) -> Vec<NodeName> {
    let depth = columns.iter().map(Vec::len).max().unwrap_or(0);
    let rows = (0..depth).flat_map(|row| columns.iter().filter_map(move |seats| seats.get(row)));
    rows.take(HOLDERS).map(|seat| seat.name.clone()).collect()
}

fn rank(key: u64, member: u64) -> u64 {
    xxh3_64_with_seed(&member.to_le_bytes(), key)
}

/// The view in force and, for a while after a change, the one before.
#[derive(Clone, Debug, Default)]
pub struct Views {
    current: View,
    previous: Option<(View, Time)>,
}

impl Views {
    /// The view in force, and the one before with the moment until which it must agree as well.
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
