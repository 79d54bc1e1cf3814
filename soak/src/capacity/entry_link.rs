//! Links with limited bandwidth: messages of all sessions to one entry share its link, one segment
//! of each session in turn.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::event::SimEvent;
use super::session::Packet;
use super::simulation::Simulation;

/// Bytes that one session sends before the next session has its turn.
const SEGMENT_BYTES: u64 = 16 * 1024;

/// The incoming link of one entry.
#[derive(Debug)]
pub(super) struct EntryLink {
    bytes_per_s: u64,
    /// Queued packets by session, each with its bytes that are not sent yet.
    queues: BTreeMap<usize, VecDeque<(u64, Packet)>>,
    /// The session whose segment is being sent.
    sending: Option<usize>,
}

impl EntryLink {
    pub fn new(bytes_per_s: u64) -> Self {
        Self { bytes_per_s, queues: BTreeMap::new(), sending: None }
    }

    /// Queues a packet; returns the duration of the first segment if the link was idle.
    fn enqueue(&mut self, session: usize, bytes: u64, packet: Packet) -> Option<Duration> {
        self.queues.entry(session).or_default().push_back((bytes, packet));
        if self.sending.is_some() { None } else { self.next_segment() }
    }

    /// Discards the queue of a closed session.
    fn drop_session(&mut self, session: usize) {
        self.queues.remove(&session);
    }

    /// Completes the current segment; returns the packet and its session if the packet is complete.
    fn segment_sent(&mut self) -> Option<(usize, Packet)> {
        let session = self.sending?;
        let queue = self.queues.get_mut(&session)?;
        let (remaining, _) = queue.front_mut()?;
        *remaining = remaining.saturating_sub(SEGMENT_BYTES);
        if *remaining > 0 {
            return None;
        }
        let (_, packet) = queue.pop_front()?;
        if queue.is_empty() {
            self.queues.remove(&session);
        }
        Some((session, packet))
    }

    /// Starts the segment of the next session in turn; returns its duration.
    fn next_segment(&mut self) -> Option<Duration> {
        let after = self.sending.take().map_or(0, |session| session + 1);
        let next = self.queues.range(after..).next().or_else(|| self.queues.iter().next());
        let (session, queue) = next?;
        let (remaining, _) = queue.front()?;
        let bytes = (*remaining).min(SEGMENT_BYTES);
        self.sending = Some(*session);
        Some(Duration::from_micros(bytes * 1_000_000 / self.bytes_per_s))
    }
}

impl Simulation {
    /// Limits the bandwidth of the links of all entries.
    pub(super) fn limit_links(&mut self, bytes_per_s: u64) {
        for entry in &mut self.entries {
            entry.link = Some(EntryLink::new(bytes_per_s));
        }
    }

    /// Queues a packet at the link of its entry; returns it if it needs no queueing.
    pub(super) fn send_by_link(&mut self, number: usize, packet: Packet) -> Option<Packet> {
        let entry = self.sessions[number].entry;
        let Some(link) = &mut self.entries[entry].link else { return Some(packet) };
        match &packet {
            Packet::ToEntry(message) => {
                let bytes =
                    bincode::serialized_size(message).expect("wire messages can be serialized");
                if let Some(time) = link.enqueue(number, bytes, packet) {
                    self.schedule_after(time, SimEvent::SegmentSent(entry));
                }
                None
            }
            // A few bytes that precede all messages of the session.
            Packet::ReadsDemand | Packet::ReadsSuspicions => Some(packet),
            Packet::CloseAtEntry | Packet::CloseAtAgent => {
                link.drop_session(number);
                Some(packet)
            }
            Packet::ToAgent(_) => Some(packet),
        }
    }

    /// Completes a segment on the link of an entry.
    pub(super) fn link_segment_sent(&mut self, entry: usize) {
        let Some(link) = &mut self.entries[entry].link else { return };
        let completed = link.segment_sent();
        if let Some(time) = link.next_segment() {
            self.schedule_after(time, SimEvent::SegmentSent(entry));
        }
        if let Some((session, packet)) = completed {
            self.transmit_packet(session, packet);
        }
    }
}
