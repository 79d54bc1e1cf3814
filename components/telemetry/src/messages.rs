//! Messages counted at their sender, and which of them did no useful work.

use std::ops::AddAssign;

use serde::{Deserialize, Serialize};

/// The kinds of messages between dockpass's processes. A call and its answer are two messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageKind {
    /// Opening a session.
    Hello,
    /// A claim or its answer.
    Claim,
    /// A start or its answer.
    Start,
    /// A settle or its answer.
    Settle,
    /// A token exchange or its answer.
    Sync,
    /// A submission handed between entries, or its answer.
    Relay,
    /// A pull of settings or its answer.
    Pull,
    /// A probe of the failure detector, or its answer.
    Probe,
}

const KINDS: usize = 8;

impl MessageKind {
    /// Every kind, in the order of the counts.
    pub const ALL: [Self; KINDS] = [
        Self::Hello,
        Self::Claim,
        Self::Start,
        Self::Settle,
        Self::Sync,
        Self::Relay,
        Self::Pull,
        Self::Probe,
    ];

    /// The kind's name in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Hello => "hello",
            Self::Claim => "claim",
            Self::Start => "start",
            Self::Settle => "settle",
            Self::Sync => "sync",
            Self::Relay => "relay",
            Self::Pull => "pull",
            Self::Probe => "probe",
        }
    }
}

/// Messages sent, by kind, and how many of them were wasted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessageCounts {
    sent: [u64; KINDS],
    wasted: [u64; KINDS],
}

impl MessageCounts {
    /// Counts a message sent.
    pub fn sent(&mut self, kind: MessageKind) {
        self.sent[kind as usize] += 1;
    }

    /// Counts messages, sent before, as wasted.
    pub fn wasted(&mut self, kind: MessageKind, count: u64) {
        self.wasted[kind as usize] += count;
    }

    /// Messages sent of a kind.
    pub fn sent_of(&self, kind: MessageKind) -> u64 {
        self.sent[kind as usize]
    }

    /// Wasted messages of a kind.
    pub fn wasted_of(&self, kind: MessageKind) -> u64 {
        self.wasted[kind as usize]
    }

    /// All messages sent.
    pub fn total_sent(&self) -> u64 {
        self.sent.iter().sum()
    }

    /// All wasted messages.
    pub fn total_wasted(&self) -> u64 {
        self.wasted.iter().sum()
    }
}

impl AddAssign for MessageCounts {
    fn add_assign(&mut self, other: Self) {
        for kind in MessageKind::ALL {
            self.sent[kind as usize] += other.sent_of(kind);
            self.wasted[kind as usize] += other.wasted_of(kind);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn kinds_index_their_own_counts() {
        let mut counts = MessageCounts::default();
        for (times, kind) in MessageKind::ALL.into_iter().enumerate() {
            (0..times).for_each(|_| counts.sent(kind));
        }
        for (times, kind) in MessageKind::ALL.into_iter().enumerate() {
            assert_eq!(counts.sent_of(kind), times as u64);
        }
    }
}
