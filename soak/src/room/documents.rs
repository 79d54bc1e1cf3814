//! Entries that fetch the configuration from agents: in these runs no keeper can be reached.

use keeper::{DocumentFetch, DocumentSource, FetchStep, PART_TIMEOUT};
use model::Time;
use wire::ToAgent;

use super::link::Parcel;
use super::world::{Happening, World};

impl World {
    /// Tells an entry's fetch of what has happened, and does what follows.
    pub(super) fn fetch(
        &mut self,
        entry: usize,
        happened: impl FnOnce(&mut DocumentFetch, Time) -> Option<FetchStep>,
    ) {
        let mut next = happened(&mut self.entries[entry].fetch, self.now);
        while let Some(step) = next.take() {
            match step {
                FetchStep::Request(source, request) => {
                    let DocumentSource::Agent(id) = source else { continue };
                    if let Some(session) = self.entries[entry].sessions.get(&id).copied() {
                        self.send(session, Parcel::ToAgent(ToAgent::SendPart(request)));
                    }
                    let life = self.entries[entry].life;
                    self.at(PART_TIMEOUT, Happening::PartLate(entry, life));
                }
                FetchStep::Complete(..) => next = self.entries[entry].fetch.next_step(self.now),
            }
        }
    }

    /// A part that was asked for may be late.
    pub(super) fn part_late(&mut self, entry: usize, life: u64) {
        if self.entries[entry].life == life {
            self.fetch(entry, DocumentFetch::next_step);
        }
    }

    /// How many entries have the configuration.
    pub(super) fn with_document(&self) -> usize {
        self.entries.iter().filter(|entry| entry.fetch.version() > 0).count()
    }
}
