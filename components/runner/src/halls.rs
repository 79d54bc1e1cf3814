//! Emptied data halls: nothing new starts on a target in an emptied hall, and its active runs
//! finish normally.
//!
//! An agent receives the list from keepers and from entries and forwards it to its entries, so that
//! it also reaches processes that are cut off from every keeper. Only a higher revision takes
//! effect, in whatever order messages arrive.

use model::Time;
use wire::{EmptiedHalls, Refusal, ToEntry};

use crate::event::{Action, HallsSource, LogEvent, SessionId};
use crate::runner::Runner;

impl Runner {
    /// Applies a list of emptied halls. If the target's hall is one of them, waiting runs are
    /// refused at once, so that their entries place them elsewhere.
    pub(crate) fn update_halls(
        &mut self,
        now: Time,
        halls: &EmptiedHalls,
        source: HallsSource,
        actions: &mut Vec<Action>,
    ) {
        if !self.halls.update(halls) {
            return;
        }
        let emptied = self.is_hall_emptied();
        actions.push(Action::Log(LogEvent::Halls { halls: halls.clone(), emptied, source }));
        let others = self.sessions.keys().filter(|id| source != HallsSource::Entry(**id));
        let recipients: Vec<SessionId> = others.copied().collect();
        actions.extend(
            recipients.into_iter().map(|id| Action::Send(id, ToEntry::Halls(halls.clone()))),
        );
        if emptied {
            self.refuse_waiting(now, Refusal::Closed, actions);
        }
        self.mark_load_changed();
    }

    /// Whether the target's hall is emptied.
    pub(crate) fn is_hall_emptied(&self) -> bool {
        self.target.as_ref().is_some_and(|target| self.halls.contains(&target.report.hall))
    }
}
