//! Clients: what they hand in and what they are answered.

use dispatch::{CallId, Outcome};
use model::JobId;
use rand::Rng;

use super::client::{RESEND, TRIES};
use super::world::{Happening, World};

impl World {
    pub(super) fn submit(&mut self, id: &JobId) {
        let entry = self.entry_of(id);
        let Some(client) = self.clients.get_mut(id).filter(|client| !client.cancelled) else {
            return;
        };
        client.tries += 1;
        let tries = client.tries;
        let process = &mut self.entries[entry];
        if process.dispatcher.is_none() {
            // No connection: it tries again.
            if tries < TRIES {
                self.at(RESEND, Happening::Submit(id.clone()));
            }
            return;
        }
        process.next += 1;
        let ticket = process.next;
        process.jobs.insert(CallId(ticket), id.clone());
        client.at = Some((entry, ticket));
        let request = client.request.clone();
        self.checks.submitted(self.now, id, request.shape.count, request.max_attempts);
        self.at(request.deadline, Happening::GiveUp(id.clone(), tries));
        let frozen = self.entries[entry].frozen;
        if frozen > self.now {
            // It lies unread for so long.
            let life = self.entries[entry].life;
            return self.at_time(frozen, Happening::Unread(entry, life, CallId(ticket), request));
        }
        self.feed_entry(entry, dispatch::Event::Submit(CallId(ticket), request));
    }

    /// The entry that the balancer hands a client to: any one, or always the same.
    fn entry_of(&mut self, id: &JobId) -> usize {
        let kept = self.clients.get(id).and_then(|client| client.entry);
        kept.unwrap_or_else(|| self.rng.random_range(0..self.entries.len()))
    }

    /// The client's time is over.
    pub(super) fn give_up(&mut self, id: &JobId, tries: u32) {
        let Some(client) = self.clients.get_mut(id).filter(|client| client.tries == tries) else {
            return;
        };
        let Some((entry, ticket)) = client.at.take() else { return };
        let process = &mut self.entries[entry];
        process.jobs.remove(&CallId(ticket));
        let (frozen, life) = (process.frozen, process.life);
        let seen = frozen.max(self.now);
        self.at_time(seen, Happening::Gone(entry, life, CallId(ticket)));
        self.send_again(id);
    }

    pub(super) fn send_again(&mut self, id: &JobId) {
        let tries = self.clients.get(id).map_or(TRIES, |client| client.tries);
        if tries < TRIES {
            self.at(RESEND, Happening::Submit(id.clone()));
        }
    }

    pub(super) fn answer(&mut self, entry: usize, ticket: CallId, outcome: Outcome) {
        let Some(id) = self.entries[entry].jobs.remove(&ticket) else { return };
        let now = self.now;
        self.checks.answered(now, &id, outcome);
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.at = None;
        self.tally.answered(now, client, outcome);
        let calm = client.calm && now.since(client.first) < client.request.deadline;
        match outcome {
            Outcome::Completed if calm => self.checks.summary.calm += 1,
            Outcome::MayHaveRun(_) => self.send_again(&id),
            _ => {}
        }
    }
}
