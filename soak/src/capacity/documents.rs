//! Entries that fetch the configuration from agents; these runs have no keepers.

use keeper::{DocumentFetch, DocumentSource, FetchStep, PART_TIMEOUT};
use model::Time;
use wire::ToAgent;

use super::event::SimEvent;
use super::session::Packet;
use super::simulation::Simulation;

impl Simulation {
    /// Applies an event to the document fetch of an entry and carries out the steps that follow.
    pub(super) fn drive_fetch(
        &mut self,
        entry: usize,
        apply_event: impl FnOnce(&mut DocumentFetch, Time) -> Option<FetchStep>,
    ) {
        let mut next = apply_event(&mut self.entries[entry].fetch, self.now);
        while let Some(step) = next.take() {
            match step {
                FetchStep::Request(source, request) => {
                    let DocumentSource::Agent(id) = source else { continue };
                    if let Some(session) = self.entries[entry].sessions.get(&id).copied() {
                        self.send_packet(session, Packet::ToAgent(ToAgent::SendPart(request)));
                    }
                    let incarnation = self.entries[entry].incarnation;
                    self.schedule_after(PART_TIMEOUT, SimEvent::PartTimeout(entry, incarnation));
                }
                FetchStep::Complete(..) => next = self.entries[entry].fetch.next_step(self.now),
            }
        }
    }

    /// Lets the fetch continue if the entry has not restarted since the request.
    pub(super) fn part_timed_out(&mut self, entry: usize, incarnation: u64) {
        if self.entries[entry].incarnation == incarnation {
            self.drive_fetch(entry, DocumentFetch::next_step);
        }
    }

    /// Returns the number of entries that have the configuration.
    pub(super) fn entries_with_document(&self) -> usize {
        self.entries.iter().filter(|entry| entry.fetch.version() > 0).count()
    }
}
