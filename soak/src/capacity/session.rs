//! Sessions between entries and agents, which deliver messages in order.

use model::Time;
use wire::{ToAgent, ToEntry};

/// The state of a session at both ends.
#[derive(Clone, Copy, Debug)]
pub(super) struct Session {
    pub entry: usize,
    pub agent: usize,
    pub open_at_entry: bool,
    pub open_at_agent: bool,
    /// Arrival of the last message in each direction; later messages arrive no earlier.
    pub last_to_entry: Time,
    pub last_to_agent: Time,
}

/// A message in a session.
#[derive(Clone, Debug)]
pub(super) enum Packet {
    ToAgent(ToAgent),
    ToEntry(ToEntry),
    /// The empty first batch of an agent that reads reports of waiting work.
    ReadsDemand,
    /// The empty first batch of an entry that reads reports of suspected crashes.
    ReadsSuspicions,
    /// The other side has closed the session.
    CloseAtAgent,
    CloseAtEntry,
}

impl Packet {
    pub fn is_to_agent(&self) -> bool {
        matches!(self, Self::ToAgent(_) | Self::ReadsSuspicions | Self::CloseAtAgent)
    }
}
