//! Counts of sent messages by kind, including those that were wasted.

use std::ops::AddAssign;

use serde::{Deserialize, Serialize};

/// The kind of a message between processes. A request and its reply count as two messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageKind {
    /// A request to open a session, or its reply.
    Hello,
    /// A claim on a submission or a lookup of its claim, or the reply.
    Claim,
    /// A request to start a task, or its reply.
    Start,
    /// A request for the result of a start, or its reply.
    Settle,
    /// A token exchange, or its reply.
    Sync,
    /// A submission forwarded between entries, or its reply.
    Relay,
    /// A request for settings, or its reply.
    Pull,
    /// A probe of the failure detector, or its reply.
    Probe,
}

const KIND_COUNT: usize = 8;

impl MessageKind {
    /// All kinds, in the order of the variants.
    pub const ALL: [Self; KIND_COUNT] = [
        Self::Hello,
        Self::Claim,
        Self::Start,
        Self::Settle,
        Self::Sync,
        Self::Relay,
        Self::Pull,
        Self::Probe,
    ];

    /// The name of the kind in reports.
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

/// Sent and wasted messages by kind. A message is wasted if it did not contribute to an outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessageCounts {
    sent: [u64; KIND_COUNT],
    wasted: [u64; KIND_COUNT],
}

impl MessageCounts {
    /// Counts a sent message.
    pub fn sent(&mut self, kind: MessageKind) {
        self.sent[kind as usize] += 1;
    }

    /// Counts messages that were sent earlier as wasted.
    pub fn wasted(&mut self, kind: MessageKind, count: u64) {
        self.wasted[kind as usize] += count;
    }

    /// The number of sent messages of a kind.
    pub fn sent_of(&self, kind: MessageKind) -> u64 {
        self.sent[kind as usize]
    }

    /// The number of wasted messages of a kind.
    pub fn wasted_of(&self, kind: MessageKind) -> u64 {
        self.wasted[kind as usize]
    }

    /// The number of sent messages of all kinds.
    pub fn total_sent(&self) -> u64 {
        self.sent.iter().sum()
    }

    /// The number of wasted messages of all kinds.
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
    fn each_kind_has_its_own_count() {
        let mut counts = MessageCounts::default();
        for (times, kind) in MessageKind::ALL.into_iter().enumerate() {
            (0..times).for_each(|_| counts.sent(kind));
        }
        for (times, kind) in MessageKind::ALL.into_iter().enumerate() {
            assert_eq!(counts.sent_of(kind), times as u64);
        }
    }
}
