//! Sessions between entries and agents: ordered messages, held up by cuts, lost with the session.

use model::Time;
use wire::{ToAgent, ToEntry};

/// One session.
#[derive(Clone, Copy, Debug)]
pub(super) struct Session {
    pub entry: usize,
    pub agent: usize,
    pub open_at_entry: bool,
    pub open_at_agent: bool,
    /// When the last message sent each way arrives: later ones arrive no earlier.
    pub last_to_entry: Time,
    pub last_to_agent: Time,
}

/// What travels in a session.
#[derive(Clone, Debug)]
pub(super) enum Packet {
    ToAgent(ToAgent),
    ToEntry(ToEntry),
    /// The other side has closed.
    CloseAtAgent,
    CloseAtEntry,
}
